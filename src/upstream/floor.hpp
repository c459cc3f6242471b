#pragma once

#include "core/ids.hpp"
#include "core/runtime_clock.hpp"
#include "upstream/held_verdict.hpp"
#include "upstream/worker.hpp"
#include "upstream/worker_standing.hpp"

#include <vector>

namespace pollenward::upstream {

/// Capacity, in workers, that ejections must leave in service: the floor share
/// of all listed workers, or all live ones if those are fewer. A worker is
/// live if it is listed, not leaving and not draining.
double required_capacity(const std::vector<worker>& workers,
    const std::vector<core::worker_id>& draining, double floor_share);

/// The workers that may get work, sorted by id: the live ones without an
/// ejection, plus the least bad ejected, on trial or locally avoided ones, as
/// many as are needed for the required capacity. A worker on trial counts with
/// its weight. Each daemon applies this to its own view, whatever homes say;
/// verdicts on unlisted workers have no effect.
std::vector<worker_standing> usable_workers(const std::vector<worker>& workers,
    const std::vector<held_verdict>& verdicts,
    const std::vector<core::worker_id>& draining,
    const std::vector<core::worker_id>& avoided, double floor_share,
    core::time_point now);

} // namespace pollenward::upstream
