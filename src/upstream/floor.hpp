#pragma once

#include "core/ids.hpp"
#include "core/runtime_clock.hpp"
#include "upstream/received_verdict.hpp"
#include "upstream/usable_worker.hpp"
#include "upstream/worker.hpp"

#include <vector>

namespace pollenward::upstream {

/// Minimum capacity, in workers, that must remain in service despite ejections:
/// the floor share of all listed workers, or all live ones if those are fewer.
/// A worker is live if it is listed, not leaving and not draining.
double required_capacity(const std::vector<worker>& workers,
    const std::vector<core::worker_id>& draining, double floor_share);

/// The workers that may receive requests, sorted by id: the live ones that are
/// not ejected, plus as many of the least severe ejected, trial or locally
/// avoided ones as the required capacity needs. A worker on trial counts with
/// its weight. Each daemon applies the floor to its own view, whatever verdicts
/// it receives; verdicts on unlisted workers have no effect.
std::vector<usable_worker> usable_workers(const std::vector<worker>& workers,
    const std::vector<received_verdict>& verdicts,
    const std::vector<core::worker_id>& draining,
    const std::vector<core::worker_id>& avoided, double floor_share,
    core::time_point now);

} // namespace pollenward::upstream
