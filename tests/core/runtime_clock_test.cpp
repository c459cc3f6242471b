#include "core/runtime_timer.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

using namespace pollenward::core;

// Guards against tests that need to sleep: a waiting timer ends when the paused
// clock is advanced past its expiry, and not before.
TEST_CASE("a timer follows the paused clock", "[core]")
{
    runtime_clock::pause();
    boost::asio::io_context context;
    bool is_done = false;
    boost::asio::co_spawn(
        context,
        [&]() -> boost::asio::awaitable<void> {
            co_await wait_until(runtime_clock::now() + std::chrono::hours(1));
            is_done = true;
        },
        boost::asio::detached);
    context.poll();
    runtime_clock::advance(std::chrono::minutes(59));
    wake_timers(context.get_executor());
    context.run_one();
    CHECK_FALSE(is_done);
    runtime_clock::advance(std::chrono::minutes(1));
    wake_timers(context.get_executor());
    context.run();
    CHECK(is_done);
    runtime_clock::resume();
}

TEST_CASE("a resumed clock continues from the paused time", "[core]")
{
    runtime_clock::pause();
    const auto before = runtime_clock::now();
    runtime_clock::advance(std::chrono::hours(2));
    CHECK(runtime_clock::now() - before == std::chrono::hours(2));
    runtime_clock::resume();
    CHECK(runtime_clock::now() - before >= std::chrono::hours(2));
    CHECK_FALSE(runtime_clock::is_paused());
}

TEST_CASE("an operation is cancelled at its deadline", "[core]")
{
    runtime_clock::pause();
    boost::asio::io_context context;
    bool has_timed_out = false;
    const auto slow = []() -> boost::asio::awaitable<int> {
        co_await wait_until(runtime_clock::now() + std::chrono::hours(1));
        co_return 1;
    };
    boost::asio::co_spawn(
        context,
        [&]() -> boost::asio::awaitable<void> {
            const auto result = co_await with_deadline(
                slow(), runtime_clock::now() + std::chrono::seconds(1));
            has_timed_out = !result;
        },
        boost::asio::detached);
    context.poll();
    runtime_clock::advance(std::chrono::seconds(1));
    wake_timers(context.get_executor());
    context.run();
    CHECK(has_timed_out);
    runtime_clock::resume();
}
