#pragma once

#include "core/runtime_clock.hpp"
#include "operators/kind_settings.hpp"
#include "upstream/attempt_result.hpp"
#include "upstream/retry_budget.hpp"

namespace pollenward::upstream {

enum class retry_decision { retry, stop };

/// Whether another worker is tried after an attempt that ended with `result`.
/// `attempts` is the number of attempts so far. The caller charges the budget
/// when it retries.
constexpr retry_decision decide_retry(bool is_idempotent, attempt_result result,
    int attempts, const retry_budget& budget, bool is_overloaded,
    core::time_point deadline, core::time_point now)
{
    const bool is_final = result == attempt_result::answered
        || result == attempt_result::cancelled
        || result == attempt_result::refused_expired
        || result == attempt_result::timed_out;
    const bool is_safe
        = is_idempotent || certainty_of(result) == run_certainty::not_run;
    const bool has_time = now < deadline;
    return !is_final && is_safe && has_time && !is_overloaded
            && attempts < operators::default_max_attempts
            && budget.allows_retry()
        ? retry_decision::retry
        : retry_decision::stop;
}

} // namespace pollenward::upstream
