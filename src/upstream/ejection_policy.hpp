#pragma once

#include "core/ids.hpp"
#include "core/runtime_clock.hpp"
#include "upstream/ejection_record.hpp"
#include "upstream/source_evidence.hpp"
#include "upstream/worker.hpp"

#include <compare>
#include <utility>
#include <vector>

namespace pollenward::upstream {

/// The input of an aggregator's ejection decision for one service.
class ejection_input {
public:
    /// `sources` are the daemons of the aggregator's zone and the other zones.
    /// `unknown_zones` is the number of zones that send requests but have no
    /// usable report: it is overdue, or the zone itself is cut off.
    /// `ejected_elsewhere` are the workers that aggregators of other zones have
    /// ejected.
    static ejection_input make(std::vector<worker> workers,
        std::vector<core::worker_id> draining, double floor_share,
        std::vector<source_evidence> sources, int unknown_zones,
        std::vector<core::worker_id> ejected_elsewhere)
    {
        ejection_input made;
        made.workers = std::move(workers);
        made.draining = std::move(draining);
        made.floor_share = floor_share;
        made.sources = std::move(sources);
        made.unknown_zones = unknown_zones;
        made.ejected_elsewhere = std::move(ejected_elsewhere);
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

    int get_unknown_zones() const { return this->unknown_zones; }

    const std::vector<core::worker_id>& get_ejected_elsewhere() const
    {
        return this->ejected_elsewhere;
    }

    auto operator<=>(const ejection_input&) const = default;

private:
    std::vector<worker> workers;
    std::vector<core::worker_id> draining;
    double floor_share = 0;
    std::vector<source_evidence> sources;
    int unknown_zones = 0;
    std::vector<core::worker_id> ejected_elsewhere;
};

/// Computes the next records of the workers, sorted by id, from the previous
/// ones. Workers that were never ejected have no record. The rules:
/// - A worker is ejected if the lower confidence bound of its failure rate is
///   above failure_rate_bound and above the rate of the other workers.
/// - At least two zones and a majority of all zones, unknown ones included,
///   must see failures; a single zone decides alone only if there is no other.
///   The worker must also fail without the half of the zones that have its
///   highest failure rates.
/// - A worker that another aggregator ejected needs failures in two zones only.
/// - Sources and paths that are faulty themselves are excluded.
/// - If half of the workers fail at once, or two or more workers of a zone in
///   which none is healthy, the cause is shared: none of them is ejected.
/// - The worker with the highest bound is ejected first, as long as the floor
///   is kept.
/// - After an ejection, a worker is on trial; see ejection_record.
std::vector<ejection_record> decide_ejections(const ejection_input& input,
    const std::vector<ejection_record>& previous, core::time_point now);

} // namespace pollenward::upstream
