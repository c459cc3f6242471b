#pragma once

#include <string_view>

namespace pollenward::main {

/// The signals that end the daemon.
enum class stop_signal {
    /// SIGTERM, from the platform or a process manager.
    terminate,
    /// SIGINT, from an operator's terminal.
    interrupt
};

enum class stop_action { begin_drain, ignore, cut_requests };

constexpr std::string_view to_string(stop_action action)
{
    switch (action)
    {
    case stop_action::begin_drain:
        return "begin_drain";
    case stop_action::ignore:
        return "ignore";
    case stop_action::cut_requests:
        break;
    }
    return "cut_requests";
}

/// What the daemon does on a signal. Process managers send SIGTERM again while
/// the process still runs, which must not interrupt the requests that the drain
/// waits for; the drain limit ends it anyway. An operator who presses Ctrl-C
/// again wants it to end now.
constexpr stop_action decide_stop(stop_signal received, bool is_draining)
{
    if (!is_draining)
    {
        return stop_action::begin_drain;
    }
    return received == stop_signal::interrupt ? stop_action::cut_requests
                                              : stop_action::ignore;
}

} // namespace pollenward::main
