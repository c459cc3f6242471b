#pragma once

#include "core/ids.hpp"
#include "core/runtime_clock.hpp"
#include "upstream/evidence_counts.hpp"
#include "upstream/failure_rate.hpp"
#include "upstream/source_evidence.hpp"
#include "upstream/worker.hpp"
#include "upstream/worker_record.hpp"

#include <map>
#include <vector>

namespace pollenward::upstream {

using record_map = std::map<core::worker_id, worker_record>;

/// The evidence on one worker and what follows from it alone.
struct assessment {
    core::worker_id worker;
    evidence_counts total;
    /// `total` without what was seen before the last return from ejection.
    evidence_counts recent;
    int zones_with_traffic = 0;
    int zones_with_failures = 0;
    double lower_bound = 0;
    /// The same without the zones that see it worst; see widest_view().
    double trimmed_lower_bound = 0;

    bool is_suspect() const { return shows_failures(this->recent); }
};

/// The lower confidence bound of the failure rate in the window in which it is
/// higher; 0 in a window with fewer than `least` failures.
double failure_bound_of(const evidence_counts& counts, double least);

/// False if the failures are over: the slow window remembers a fault for long
/// after it has ended.
bool is_failing_now(const evidence_counts& counts);

/// Assesses the workers by the evidence of the zones, one element a zone, in
/// the order of the workers. `unknown_zones` is the number of further zones
/// whose view is not known.
std::vector<assessment> assess_all(const std::vector<worker>& workers,
    const std::vector<source_evidence>& zones, int unknown_zones,
    const record_map& records, core::time_point now);

} // namespace pollenward::upstream
