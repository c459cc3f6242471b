#pragma once

#include "core/ids.hpp"
#include "core/runtime_clock.hpp"
#include "upstream/ejection_record.hpp"
#include "upstream/evidence_counts.hpp"
#include "upstream/failure_rate.hpp"
#include "upstream/source_evidence.hpp"
#include "upstream/worker.hpp"

#include <map>
#include <vector>

namespace pollenward::upstream {

using ejection_record_map = std::map<core::worker_id, ejection_record>;

/// The evidence on one worker and the failure rates derived from it.
struct worker_assessment {
    core::worker_id worker;
    evidence_counts total;
    /// `total` without the results before the ejection record's baseline.
    evidence_counts recent;
    int zones_with_traffic = 0;
    int zones_with_failures = 0;
    double lower_bound = 0;
    /// The same without the zones with the highest rates; see trimmed_sum().
    double trimmed_lower_bound = 0;

    bool is_suspect() const { return shows_failures(this->recent); }
};

/// The higher of the lower confidence bounds of the failure rate in the two
/// windows; a window with fewer than `min_failures` failures counts as 0.
double failure_bound_of(const evidence_counts& counts, double min_failures);

/// False if the failures have ended: the slow window still contains them long
/// after the end of a fault.
bool is_failing_now(const evidence_counts& counts);

/// Assesses each worker from the evidence of the zones, in the order of the
/// workers. `zones` has one element per zone; `unknown_zones` is the number of
/// further zones without a usable report.
std::vector<worker_assessment> assess_all(const std::vector<worker>& workers,
    const std::vector<source_evidence>& zones, int unknown_zones,
    const ejection_record_map& records, core::time_point now);

} // namespace pollenward::upstream
