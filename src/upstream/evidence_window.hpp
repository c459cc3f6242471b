#pragma once

#include "core/runtime_clock.hpp"
#include "upstream/attempt_result.hpp"
#include "upstream/evidence_counts.hpp"

#include <cmath>
#include <compare>

namespace pollenward::upstream {

inline constexpr core::duration fast_time_constant = core::seconds(1);
inline constexpr core::duration slow_time_constant = core::seconds(10);

/// How an attempt counts for its worker's health.
enum class evidence_kind { none, success, failure };

/// Classifies the result of an attempt. Refusals are no evidence: an overload
/// makes healthy workers shed, and a leaving worker drains. A cancelled attempt
/// was ended by the caller. `status` is the HTTP status of the response and is
/// used only for `answered`.
constexpr evidence_kind evidence_of(attempt_result result, unsigned status)
{
    switch (result)
    {
    case attempt_result::answered:
        return status >= 500 ? evidence_kind::failure : evidence_kind::success;
    case attempt_result::refused_shed:
    case attempt_result::refused_draining:
    case attempt_result::refused_expired:
    case attempt_result::cancelled:
        return evidence_kind::none;
    case attempt_result::not_sent:
    case attempt_result::broken_after_send:
    case attempt_result::timed_out:
    case attempt_result::silent:
        break;
    }
    return evidence_kind::failure;
}

/// Share of a count that remains after `age`.
inline double decay(core::duration age, core::duration time_constant)
{
    return age <= core::duration::zero()
        ? 1.0
        : std::exp(-core::to_seconds(age) / core::to_seconds(time_constant));
}

/// The counts after `age` without further results.
inline evidence_counts decayed(
    const evidence_counts& counts, core::duration age)
{
    const double fast = decay(age, fast_time_constant);
    const double slow = decay(age, slow_time_constant);
    return evidence_counts::make(counts.get_fast_successes() * fast,
        counts.get_fast_failures() * fast, counts.get_slow_successes() * slow,
        counts.get_slow_failures() * slow);
}

/// Decayed counts of the results of one worker.
class evidence_window {
public:
    /// A window without results.
    static evidence_window make(core::time_point now)
    {
        evidence_window made;
        made.updated = now;
        return made;
    }

    /// The window with one more result. A `now` before the last result counts
    /// as the time of the last result.
    evidence_window with_result(bool is_failure, core::time_point now) const
    {
        evidence_window next;
        next.updated = now > this->updated ? now : this->updated;
        const double failure = is_failure ? 1 : 0;
        next.latest = this->counts(now)
            + evidence_counts::make(1 - failure, failure, 1 - failure, failure);
        return next;
    }

    evidence_counts counts(core::time_point now) const
    {
        return decayed(this->latest, now - this->updated);
    }

    auto operator<=>(const evidence_window&) const = default;

private:
    core::time_point updated;
    evidence_counts latest;
};

} // namespace pollenward::upstream
