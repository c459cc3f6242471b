#pragma once

#include "core/runtime_clock.hpp"
#include "upstream/attempt_result.hpp"
#include "upstream/latency_profile.hpp"
#include "upstream/retry_allowance.hpp"

#include <optional>

namespace pollenward::upstream {

/// What has become of the sends of one request so far.
struct send_progress {
    bool is_idempotent = false;
    /// Sends that may have run.
    int sends = 0;
    int max_sends = 1;
    /// Sends that wait for an answer, and when the last of them began.
    int waiting = 0;
    core::time_point last_sent_at;
    core::time_point deadline;
};

/// An answer that is later than all but this share is given up for lost, so
/// that a second send pays: some of those are answered after all.
inline constexpr double late_share = 0.04;

/// A second send that could not be answered in time is not made.
inline constexpr double least_time_share = 0.5;

/// Whether another worker may be tried after a send ended with `result`.
constexpr bool may_send_again(
    const send_progress& progress, attempt_result result)
{
    const bool is_certain = certainty_of(result) == run_certainty::not_run;
    const bool is_possible = result != attempt_result::cancelled
        && result != attempt_result::answered
        && result != attempt_result::refused_expired;
    return is_possible && (is_certain || progress.is_idempotent)
        && progress.sends < progress.max_sends;
}

/// When a second send is made beside one that is late; nothing if never.
inline std::optional<core::time_point> time_of_second_send(
    const send_progress& progress, const latency_profile& latencies)
{
    if (!progress.is_idempotent || progress.waiting != 1
        || progress.sends >= progress.max_sends)
    {
        return std::nullopt;
    }
    // The deviation above the median that late_share of a normal distribution
    // exceeds.
    constexpr double late_deviations = 1.75;
    const auto at = progress.last_sent_at + latencies.quantile(late_deviations);
    const auto needed = std::chrono::duration_cast<core::duration>(
        least_time_share * latencies.median());
    return at + needed < progress.deadline ? std::optional(at) : std::nullopt;
}

} // namespace pollenward::upstream
