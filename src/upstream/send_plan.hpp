#pragma once

#include "core/runtime_clock.hpp"
#include "upstream/attempt_result.hpp"
#include "upstream/latency_profile.hpp"
#include "upstream/retry_allowance.hpp"

#include <optional>

namespace pollenward::upstream {

/// The progress of one request's sends.
struct send_progress {
    bool is_idempotent = false;
    /// Sends that may have been executed.
    int sends = 0;
    int max_sends = 1;
    /// Sends that wait for an answer, and the start of the last of them.
    int waiting = 0;
    core::time_point last_sent_at;
    core::time_point deadline;
};

/// A send that has waited longer than all but this share of the answers counts
/// as lost, although some of these sends are answered later.
inline constexpr double late_share = 0.04;

/// A second send must leave at least this share of the median latency until the
/// deadline; otherwise it is unlikely to be answered in time.
inline constexpr double min_time_share = 0.5;

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

/// When a second send is made beside a late one, or nothing if none is.
inline std::optional<core::time_point> time_of_second_send(
    const send_progress& progress, const latency_profile& latencies)
{
    if (!progress.is_idempotent || progress.waiting != 1
        || progress.sends >= progress.max_sends)
    {
        return std::nullopt;
    }
    // Standard deviations above the median that late_share of a normal
    // distribution exceeds.
    constexpr double late_deviations = 1.75;
    const auto at = progress.last_sent_at + latencies.quantile(late_deviations);
    const auto needed = std::chrono::duration_cast<core::duration>(
        min_time_share * latencies.median());
    return at + needed < progress.deadline ? std::optional(at) : std::nullopt;
}

} // namespace pollenward::upstream
