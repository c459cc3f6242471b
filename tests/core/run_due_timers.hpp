#pragma once

#include "core/runtime_timer.hpp"

#include <boost/asio/io_context.hpp>

namespace pollenward::testing {

/// Runs the handlers of the timers that are due on the paused clock, and what
/// follows from them at once. io_context::poll() alone may return before the
/// kernel reports the timer descriptor as readable.
inline void run_due_timers(boost::asio::io_context& context)
{
    bool is_reached = false;
    core::runtime_timer timer(context, core::time_point::min());
    timer.async_wait(
        [&](const boost::system::error_code&) { is_reached = true; });
    while (!is_reached)
    {
        context.run_one();
    }
    context.poll();
}

} // namespace pollenward::testing
