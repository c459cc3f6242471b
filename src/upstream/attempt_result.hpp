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
    /// No byte of the request was sent.
    not_sent,
    /// The connection broke after the request was sent in part or whole.
    broken_after_send,
    /// The deadline passed after the request was sent.
    timed_out,
    /// The connection made no progress within the progress limit.
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
