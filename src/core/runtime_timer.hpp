#pragma once

// Depends on Asio; only transport files include this header.

#include "core/runtime_clock.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/basic_waitable_timer.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <memory>
#include <optional>
#include <utility>
#include <variant>

namespace pollenward::core {

/// Computes how long Asio waits for a timer on the runtime's clock.
struct runtime_wait_traits {
    static duration to_wait_duration(const duration& remaining)
    {
        // A paused clock does not reach the expiry by waiting; wake_timers()
        // ends the wait instead.
        constexpr duration while_paused = std::chrono::minutes(5);
        const bool is_due = remaining <= duration::zero();
        return runtime_clock::is_paused() && !is_due ? while_paused : remaining;
    }

    static duration to_wait_duration(const time_point& expiry)
    {
        return to_wait_duration(expiry - runtime_clock::now());
    }
};

/// A timer on the runtime's clock, which tests can pause and advance.
using runtime_timer
    = boost::asio::basic_waitable_timer<runtime_clock, runtime_wait_traits>;

/// Makes the timers of an execution context read the clock again. Tests call it
/// after runtime_clock::advance().
inline void wake_timers(const boost::asio::any_io_executor& executor)
{
    auto timer = std::make_shared<runtime_timer>(executor, time_point::min());
    timer->async_wait([timer](const boost::system::error_code&) {});
}

/// Waits until `expiry`; returns early, without an error, when cancelled.
inline boost::asio::awaitable<void> wait_until(time_point expiry)
{
    runtime_timer timer(co_await boost::asio::this_coro::executor, expiry);
    boost::system::error_code ignored;
    co_await timer.async_wait(
        boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
}

/// Waits until `expiry`, which others on the same strand may move, is reached;
/// returns early, without an error, when cancelled.
inline boost::asio::awaitable<void> wait_past(const time_point& expiry)
{
    auto state = co_await boost::asio::this_coro::cancellation_state;
    while (runtime_clock::now() < expiry
        && state.cancelled() == boost::asio::cancellation_type::none)
    {
        co_await wait_until(expiry);
        state = co_await boost::asio::this_coro::cancellation_state;
    }
}

/// Like with_deadline(), but the operation may move `expiry` while it runs.
template <class Result>
boost::asio::awaitable<std::optional<Result>> with_moving_deadline(
    boost::asio::awaitable<Result> operation, const time_point& expiry)
{
    using namespace boost::asio::experimental::awaitable_operators;
    auto first = co_await (std::move(operation) || wait_past(expiry));
    if (first.index() == 0)
    {
        co_return std::get<0>(std::move(first));
    }
    co_return std::nullopt;
}

/// Runs an operation until `expiry`. Returns nothing if it did not finish by
/// then and was cancelled.
template <class Result>
boost::asio::awaitable<std::optional<Result>> with_deadline(
    boost::asio::awaitable<Result> operation, time_point expiry)
{
    using namespace boost::asio::experimental::awaitable_operators;
    auto first = co_await (std::move(operation) || wait_until(expiry));
    if (first.index() == 0)
    {
        co_return std::get<0>(std::move(first));
    }
    co_return std::nullopt;
}

} // namespace pollenward::core
