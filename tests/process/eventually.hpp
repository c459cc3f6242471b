#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>

namespace pollenward::test {

/// Repeats `check` until it returns true or the time limit passes. Returns
/// whether it returned true. The state of another process can only be polled,
/// so the check runs at intervals of 20 ms.
template <class Check>
bool eventually(
    Check check, std::chrono::seconds limit = std::chrono::seconds(30))
{
    constexpr std::chrono::milliseconds interval(20);
    const auto end = std::chrono::steady_clock::now() + limit;
    boost::asio::io_context context;
    boost::asio::steady_timer timer(context);
    while (!check())
    {
        if (std::chrono::steady_clock::now() >= end)
        {
            return false;
        }
        timer.expires_after(interval);
        timer.wait();
    }
    return true;
}

} // namespace pollenward::test
