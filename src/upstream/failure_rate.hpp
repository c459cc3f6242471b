#pragma once

#include "upstream/evidence_counts.hpp"

#include <algorithm>
#include <cmath>

namespace pollenward::upstream {

/// A failure rate above this is a fault. Workers that fail 3 in 10 requests
/// must be ejected; a third of that leaves room for the confidence interval.
inline constexpr double failure_rate_bound = 0.1;

/// Standard normal quantile of the confidence bounds: one-sided 99.87 %.
inline constexpr double confidence_quantile = 3;

/// Lower bound of the Wilson score interval (Wilson, 1927) of a failure rate.
inline double failure_rate_lower_bound(double failures, double successes)
{
    const double total = failures + successes;
    if (total <= 0)
    {
        return 0;
    }
    constexpr double z = confidence_quantile;
    const double rate = failures / total;
    const double centre = rate + z * z / (2 * total);
    const double margin = z
        * std::sqrt(rate * (1 - rate) / total + z * z / (4 * total * total));
    return std::max(0.0, (centre - margin) / (1 + z * z / total));
}

/// True if either window has a recent failure and a failure rate above the
/// bound, without a confidence interval. Weaker than the test for an ejection.
inline bool shows_failures(const evidence_counts& counts)
{
    // One failure counts until it has decayed to a half.
    constexpr double min_failures = 0.5;
    const auto is_above = [](double failures, double successes) {
        return failures >= min_failures
            && failures > failure_rate_bound * (failures + successes);
    };
    return is_above(counts.get_fast_failures(), counts.get_fast_successes())
        || is_above(counts.get_slow_failures(), counts.get_slow_successes());
}

/// True if the source has sent the worker requests recently.
inline bool has_traffic(const evidence_counts& counts)
{
    return counts.get_slow_successes() + counts.get_slow_failures() >= 0.5;
}

} // namespace pollenward::upstream
