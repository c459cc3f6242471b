#pragma once

#include <string_view>

namespace pollenward::upstream {

/// How one attempt to run a request on one worker ended.
enum class attempt_result {
    /// A whole response was read.
    answered,
    /// The worker refused before running: it is overloaded.
    refused_shed,
    /// The worker refused before running: it is leaving.
    refused_draining,
    /// The worker refused before running: the deadline had passed.
    refused_expired,
    /// No byte of the request was sent.
    not_sent,
    /// The connection broke after the request was sent in part or whole.
    broken_after_send,
    /// The deadline passed after the request was sent.
    timed_out,
    /// A pooled connection made no progress within the progress limit. No
    /// exchange ends with this result; it starts a hedge.
    silent,
    /// The caller went away and the attempt was cancelled after the send.
    cancelled
};

/// Whether a request ran, as far as its attempt shows.
enum class run_certainty { not_run, ran, unknown };

constexpr run_certainty certainty_of(attempt_result result)
{
    switch (result)
    {
    case attempt_result::answered:
        return run_certainty::ran;
    case attempt_result::refused_shed:
    case attempt_result::refused_draining:
    case attempt_result::refused_expired:
    case attempt_result::not_sent:
        return run_certainty::not_run;
    case attempt_result::broken_after_send:
    case attempt_result::timed_out:
    case attempt_result::silent:
    case attempt_result::cancelled:
        break;
    }
    return run_certainty::unknown;
}

/// Whether the worker that was addressed answered or refused the request.
constexpr bool has_answer(attempt_result result)
{
    // A refusal as draining can come from another worker at the same address.
    return result == attempt_result::answered
        || result == attempt_result::refused_shed
        || result == attempt_result::refused_expired;
}

/// Whether an attempt is evidence that the worker fails. A refusal before
/// running is caused by load or a drain, not by a fault; `status` is that of an
/// answer.
constexpr bool is_failure(attempt_result result, unsigned status)
{
    switch (result)
    {
    case attempt_result::answered:
        return status >= 500;
    case attempt_result::not_sent:
    case attempt_result::broken_after_send:
    case attempt_result::timed_out:
    case attempt_result::silent:
        return true;
    case attempt_result::refused_shed:
    case attempt_result::refused_draining:
    case attempt_result::refused_expired:
    case attempt_result::cancelled:
        break;
    }
    return false;
}

/// The result that is recorded as evidence. An answer of 500 or more becomes
/// broken_after_send, so that a record of results needs no status.
constexpr attempt_result evidence_result(attempt_result result, unsigned status)
{
    return result == attempt_result::answered && is_failure(result, status)
        ? attempt_result::broken_after_send
        : result;
}

constexpr std::string_view to_string(attempt_result result)
{
    switch (result)
    {
    case attempt_result::answered:
        return "answered";
    case attempt_result::refused_shed:
        return "refused_shed";
    case attempt_result::refused_draining:
        return "refused_draining";
    case attempt_result::refused_expired:
        return "refused_expired";
    case attempt_result::not_sent:
        return "not_sent";
    case attempt_result::broken_after_send:
        return "broken_after_send";
    case attempt_result::timed_out:
        return "timed_out";
    case attempt_result::silent:
        return "silent";
    case attempt_result::cancelled:
        break;
    }
    return "cancelled";
}

} // namespace pollenward::upstream
