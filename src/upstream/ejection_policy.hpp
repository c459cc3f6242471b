#pragma once

#include "core/ids.hpp"
#include "core/runtime_clock.hpp"
#include "upstream/source_evidence.hpp"
#include "upstream/worker.hpp"
#include "upstream/worker_record.hpp"

#include <compare>
#include <utility>
#include <vector>

namespace pollenward::upstream {

/// All that a home knows of a service when it decides.
class ejection_input {
public:
    /// `sources` are the daemons of the home's zone and the other zones.
    /// `silent_zones` is the number of zones that send work but whose view is
    /// not known: not heard any more, or cut off themselves. `elsewhere` are
    /// the workers that homes of other zones have ejected.
    static ejection_input make(std::vector<worker> workers,
        std::vector<core::worker_id> draining, double floor_share,
        std::vector<source_evidence> sources, int silent_zones,
        std::vector<core::worker_id> elsewhere)
    {
        ejection_input made;
        made.workers = std::move(workers);
        made.draining = std::move(draining);
        made.floor_share = floor_share;
        made.sources = std::move(sources);
        made.silent_zones = silent_zones;
        made.elsewhere = std::move(elsewhere);
        return made;
    }

    const std::vector<worker>& get_workers() const { return this->workers; }

    const std::vector<core::worker_id>& get_draining() const
    {
        return this->draining;
    }

    double get_floor_share() const { return this->floor_share; }

    const std::vector<source_evidence>& get_sources() const
    {
        return this->sources;
    }

    int get_silent_zones() const { return this->silent_zones; }

    const std::vector<core::worker_id>& get_elsewhere() const
    {
        return this->elsewhere;
    }

    auto operator<=>(const ejection_input&) const = default;

private:
    std::vector<worker> workers;
    std::vector<core::worker_id> draining;
    double floor_share = 0;
    std::vector<source_evidence> sources;
    int silent_zones = 0;
    std::vector<core::worker_id> elsewhere;
};

/// The next records of the workers, sorted by id, from the previous ones.
/// Workers that were never ejected have no record. The rules:
/// - A worker is ejected if the lower confidence bound of its failure rate is
///   above failure_rate_bound and above the rate of the other workers.
/// - Two zones and most of the zones must see failures, those that are silent
///   included, or the only zone there is. The half of the zones that see the
///   worker worst may not be the only ones to see it fail.
/// - A worker that another home ejected needs failures in two zones only.
/// - Sources and paths that are at fault themselves are left out.
/// - If half of the workers show failures at once, or two or more workers of
///   a zone while none there is known to be good, the cause is shared: none of
///   them is ejected.
/// - The worst is ejected first, while the floor holds.
/// - After its hold, a worker is on trial; see worker_record.
std::vector<worker_record> decide_ejections(const ejection_input& input,
    const std::vector<worker_record>& previous, core::time_point now);

} // namespace pollenward::upstream
