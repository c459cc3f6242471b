#include "upstream/worker_assessment.hpp"

#include "upstream/evidence_window.hpp"

#include <algorithm>
#include <utility>

namespace pollenward::upstream {

namespace {

    // One or two bad answers can come from one bad request; an ejection needs
    // more than that whatever the rate.
    constexpr double least_failures = 5;
    constexpr double least_trimmed_failures = 2;
    // Two thirds of the least rate that must be ejected. Attempts that time out
    // end up to a second after the fault, and the fast window fades for
    // seconds.
    constexpr double present_rate_bound = 0.2;

    evidence_counts since_baseline(const worker_record& record,
        const evidence_counts& counts, core::time_point now)
    {
        const auto old
            = decayed(record.get_baseline(), now - record.get_since());
        const auto left = [](double present, double before) {
            return std::max(0.0, present - before);
        };
        return evidence_counts::make(
            left(counts.get_fast_successes(), old.get_fast_successes()),
            left(counts.get_fast_failures(), old.get_fast_failures()),
            left(counts.get_slow_successes(), old.get_slow_successes()),
            left(counts.get_slow_failures(), old.get_slow_failures()));
    }

    double worst_rate(const evidence_counts& counts)
    {
        const auto rate = [](double failures, double successes) {
            return failures > 0 ? failures / (failures + successes) : 0;
        };
        return std::max(
            rate(counts.get_fast_failures(), counts.get_fast_successes()),
            rate(counts.get_slow_failures(), counts.get_slow_successes()));
    }

    /// The sum without the half of the zones that see the worker worst. A
    /// worker that a region cannot reach looks bad to that region's zones; one
    /// failure elsewhere must not complete the case against it.
    evidence_counts widest_view(
        std::vector<evidence_counts> by_zone, int unknown_zones)
    {
        std::sort(by_zone.begin(), by_zone.end(),
            [](const auto& left, const auto& right) {
                return worst_rate(left) > worst_rate(right);
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

    assessment assess(const core::worker_id& worker,
        const std::vector<source_evidence>& zones, int unknown_zones,
        const record_map& records, core::time_point now)
    {
        assessment made;
        made.worker = worker;
        std::vector<evidence_counts> by_zone;
        for (const source_evidence& zone : zones)
        {
            const evidence_counts counts = zone.counts_of(worker);
            made.total = made.total + counts;
            if (has_traffic(counts))
            {
                ++made.zones_with_traffic;
                by_zone.push_back(counts);
            }
            made.zones_with_failures += shows_failures(counts) ? 1 : 0;
        }
        const auto record = records.find(worker);
        made.recent = record == records.end()
            ? made.total
            : since_baseline(record->second, made.total, now);
        made.lower_bound = failure_bound_of(made.recent, least_failures);
        made.trimmed_lower_bound
            = failure_bound_of(widest_view(std::move(by_zone), unknown_zones),
                least_trimmed_failures);
        return made;
    }

} // namespace

double failure_bound_of(const evidence_counts& counts, double least)
{
    const double fast = counts.get_fast_failures() < least
        ? 0
        : failure_rate_lower_bound(
            counts.get_fast_failures(), counts.get_fast_successes());
    const double slow = counts.get_slow_failures() < least
        ? 0
        : failure_rate_lower_bound(
            counts.get_slow_failures(), counts.get_slow_successes());
    return std::max(fast, slow);
}

bool is_failing_now(const evidence_counts& counts)
{
    const double total
        = counts.get_fast_failures() + counts.get_fast_successes();
    return total < 1 || counts.get_fast_failures() > present_rate_bound * total;
}

std::vector<assessment> assess_all(const std::vector<worker>& workers,
    const std::vector<source_evidence>& zones, int unknown_zones,
    const record_map& records, core::time_point now)
{
    std::vector<assessment> all;
    all.reserve(workers.size());
    for (const worker& each : workers)
    {
        all.push_back(
            assess(each.get_id(), zones, unknown_zones, records, now));
    }
    return all;
}
} // namespace pollenward::upstream
