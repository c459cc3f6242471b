#include "upstream/worker_assessment.hpp"

#include "upstream/evidence_window.hpp"

#include <algorithm>
#include <utility>

namespace pollenward::upstream {

namespace {

    // One bad request can cause one or two failures; an ejection requires more,
    // whatever the rate.
    constexpr double min_ejection_failures = 5;
    constexpr double min_trimmed_failures = 2;
    // Two thirds of the lowest failure rate that must lead to an ejection.
    // Attempts that time out end up to a second after the fault, and the fast
    // window decays for seconds.
    constexpr double current_rate_bound = 0.2;

    evidence_counts since_baseline(const ejection_record& record,
        const evidence_counts& counts, core::time_point now)
    {
        const auto baseline
            = decayed(record.get_baseline(), now - record.get_since());
        const auto difference = [](double present, double before) {
            return std::max(0.0, present - before);
        };
        return evidence_counts::make(difference(counts.get_fast_successes(),
                                         baseline.get_fast_successes()),
            difference(
                counts.get_fast_failures(), baseline.get_fast_failures()),
            difference(
                counts.get_slow_successes(), baseline.get_slow_successes()),
            difference(
                counts.get_slow_failures(), baseline.get_slow_failures()));
    }

    double max_failure_rate(const evidence_counts& counts)
    {
        const auto rate = [](double failures, double successes) {
            return failures > 0 ? failures / (failures + successes) : 0;
        };
        return std::max(
            rate(counts.get_fast_failures(), counts.get_fast_successes()),
            rate(counts.get_slow_failures(), counts.get_slow_successes()));
    }

    /// The sum without the half of the zones that have the highest failure
    /// rates. A worker that a region cannot reach fails in that region's zones;
    /// one failure elsewhere must not suffice to eject it.
    evidence_counts trimmed_sum(
        std::vector<evidence_counts> by_zone, int unknown_zones)
    {
        std::sort(by_zone.begin(), by_zone.end(),
            [](const auto& left, const auto& right) {
                return max_failure_rate(left) > max_failure_rate(right);
            });
        const std::size_t dropped
            = (by_zone.size() + static_cast<std::size_t>(unknown_zones)) / 2;
        evidence_counts sum;
        for (std::size_t i = dropped; i < by_zone.size(); ++i)
        {
            sum = sum + by_zone[i];
        }
        return sum;
    }

    worker_assessment assess(const core::worker_id& worker,
        const std::vector<source_evidence>& zones, int unknown_zones,
        const ejection_record_map& records, core::time_point now)
    {
        worker_assessment assessment;
        assessment.worker = worker;
        std::vector<evidence_counts> by_zone;
        for (const source_evidence& zone : zones)
        {
            const evidence_counts counts = zone.counts_of(worker);
            assessment.total = assessment.total + counts;
            if (has_traffic(counts))
            {
                ++assessment.zones_with_traffic;
                by_zone.push_back(counts);
            }
            assessment.zones_with_failures += shows_failures(counts) ? 1 : 0;
        }
        const auto record = records.find(worker);
        assessment.recent = record == records.end()
            ? assessment.total
            : since_baseline(record->second, assessment.total, now);
        assessment.lower_bound
            = failure_bound_of(assessment.recent, min_ejection_failures);
        assessment.trimmed_lower_bound
            = failure_bound_of(trimmed_sum(std::move(by_zone), unknown_zones),
                min_trimmed_failures);
        return assessment;
    }

} // namespace

double failure_bound_of(const evidence_counts& counts, double min_failures)
{
    const double fast = counts.get_fast_failures() < min_failures
        ? 0
        : failure_rate_lower_bound(
            counts.get_fast_failures(), counts.get_fast_successes());
    const double slow = counts.get_slow_failures() < min_failures
        ? 0
        : failure_rate_lower_bound(
            counts.get_slow_failures(), counts.get_slow_successes());
    return std::max(fast, slow);
}

bool is_failing_now(const evidence_counts& counts)
{
    const double total
        = counts.get_fast_failures() + counts.get_fast_successes();
    return total < 1 || counts.get_fast_failures() > current_rate_bound * total;
}

std::vector<worker_assessment> assess_all(const std::vector<worker>& workers,
    const std::vector<source_evidence>& zones, int unknown_zones,
    const ejection_record_map& records, core::time_point now)
{
    std::vector<worker_assessment> all;
    all.reserve(workers.size());
    for (const worker& each : workers)
    {
        all.push_back(
            assess(each.get_id(), zones, unknown_zones, records, now));
    }
    return all;
}
} // namespace pollenward::upstream
