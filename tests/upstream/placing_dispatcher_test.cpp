#include "upstream/placing_dispatcher.hpp"

#include "placed_fleet.hpp"

#include <boost/asio/experimental/awaitable_operators.hpp>
#include <catch2/catch.hpp>

#include <string>
#include <vector>

using namespace pollenward;
using namespace pollenward::upstream;
using namespace pollenward::upstream::testing;

namespace {

asio::awaitable<void> wait_for(core::duration time)
{
    return core::wait_until(core::runtime_clock::now() + time);
}

} // namespace

// Guards against a caller that receives the answer to another request, or none.
TEST_CASE("A request is answered by one of the workers", "[upstream]")
{
    asio::io_context context;
    placed_fleet fleet(
        context, 2, [](int, const std::string& id) { return answer_text(id); });
    const auto result
        = dispatch_and_settle(context, fleet, make_request("a", false));
    REQUIRE(result.get_response());
    CHECK(result.get_response()->get_body() == "a");
    CHECK(fleet.arrivals == 1);
}

// Guards against a second run of a request whose answer is late.
TEST_CASE("A request that is not idempotent is sent once and waits until its "
          "deadline",
    "[upstream]")
{
    asio::io_context context;
    placed_fleet fleet(
        context, 3, [](int, const std::string&) { return "hang"; });
    const auto result = dispatch_and_settle(
        context, fleet, make_request("a", false, core::milliseconds(200)));
    CHECK_FALSE(result.get_response());
    CHECK(result.get_certainty() == run_certainty::unknown);
    CHECK(fleet.arrivals == 1);
}

// Guards against the outcome "not run" after bytes were sent.
TEST_CASE("A connection that breaks after the send leaves the outcome unknown",
    "[upstream]")
{
    asio::io_context context;
    placed_fleet fleet(context, 3, [](int, const std::string&) { return ""; });
    const auto result
        = dispatch_and_settle(context, fleet, make_request("a", false));
    CHECK(result.get_certainty() == run_certainty::unknown);
    CHECK(fleet.arrivals == 1);
}

// Guards against a failed request while other workers have capacity.
TEST_CASE("A refused request is sent to another worker, also if it is "
          "not idempotent",
    "[upstream]")
{
    asio::io_context context;
    std::atomic<int> refusals{ 0 };
    placed_fleet fleet(context, 2, [&](int, const std::string& id) {
        return refusals++ == 0 ? refusal_text("shed") : answer_text(id);
    });
    const auto result
        = dispatch_and_settle(context, fleet, make_request("a", false));
    REQUIRE(result.get_response());
    CHECK(fleet.arrivals == 2);
}

// Guards against an idempotent request that times out because one worker hangs.
TEST_CASE("A late idempotent request is sent to a second worker", "[upstream]")
{
    asio::io_context context;
    std::atomic<int> hangs{ 0 };
    placed_fleet fleet(context, 2, [&](int, const std::string& id) {
        return hangs++ == 0 ? std::string("hang") : answer_text(id);
    });
    const auto result
        = dispatch_and_settle(context, fleet, make_request("a", true));
    REQUIRE(result.get_response());
    CHECK(fleet.arrivals == 2);
}

// Guards against work that continues, or memory that is used, after the caller
// has disconnected.
TEST_CASE("A caller that disconnects closes the connections to the workers",
    "[upstream]")
{
    asio::io_context context;
    placed_fleet fleet(
        context, 2, [](int, const std::string&) { return "hang"; });
    const auto scenario = [&]() -> asio::awaitable<bool> {
        using namespace asio::experimental::awaitable_operators;
        const auto request = make_request("a", true);
        co_await (fleet.sender.dispatch(request)
            || wait_for(core::milliseconds(100)));
        while (fleet.closed == 0)
        {
            co_await wait_for(core::milliseconds(5));
        }
        co_return true;
    };
    CHECK(run_to_end(context, scenario()));
    CHECK(fleet.arrivals == 1);
}

// Guards against a connection in progress that outlives its request.
TEST_CASE("A caller that disconnects at once sends nothing", "[upstream]")
{
    asio::io_context context;
    placed_fleet fleet(
        context, 2, [](int, const std::string&) { return "hang"; });
    const auto scenario = [&]() -> asio::awaitable<bool> {
        using namespace asio::experimental::awaitable_operators;
        const auto request = make_request("a", true);
        co_await (
            fleet.sender.dispatch(request) || wait_for(core::milliseconds(0)));
        co_await wait_for(core::milliseconds(50));
        co_return true;
    };
    CHECK(run_to_end(context, scenario()));
}

// Guards against requests that are cut without an answer at the end of a
// shutdown.
TEST_CASE("all requests end by the time that is set for them", "[upstream]")
{
    asio::io_context context;
    placed_fleet fleet(
        context, 2, [](int, const std::string&) { return "hang"; });
    const auto scenario = [&]() -> asio::awaitable<dispatch_result> {
        using namespace asio::experimental::awaitable_operators;
        const auto request = make_request("a", false);
        const auto stop = [&]() -> asio::awaitable<void> {
            while (fleet.arrivals == 0)
            {
                co_await wait_for(core::milliseconds(5));
            }
            fleet.sender.end_by(core::runtime_clock::now());
        };
        auto result = co_await (fleet.sender.dispatch(request) && stop());
        co_await wait_for(core::milliseconds(50));
        co_return result;
    };
    const auto result = run_to_end(context, scenario());
    CHECK_FALSE(result.get_response());
    CHECK(result.get_certainty() == run_certainty::unknown);
}

namespace {

/// A request with a deadline of 100 ms whose caller waits for a second, sent to
/// a worker that answers after 250 ms. The route's timeout has become
/// `timeout`.
dispatch_result dispatch_with_changed_timeout(
    std::optional<core::milliseconds> timeout, bool is_stopping)
{
    asio::io_context context;
    placed_fleet fleet(
        context, 2, [](int, const std::string& id) { return answer_text(id); });
    fleet.work_time = core::milliseconds(250);
    fleet.timeouts.timeout = timeout;
    const auto request = make_request("a", false, core::milliseconds(100))
                             .with_patience(caller_patience::make(
                                 core::runtime_clock::now(), core::seconds(1)));
    if (is_stopping)
    {
        fleet.sender.begin_stop();
    }
    return dispatch_and_settle(context, fleet, request);
}

} // namespace

// Guards against a daemon that answers in place of a worker during its stop,
// although the configuration in force gives the request more time than the one
// under which it arrived.
TEST_CASE("A request at a stop gets the timeout of the configuration in force",
    "[upstream]")
{
    const auto result
        = dispatch_with_changed_timeout(core::milliseconds(900), true);
    REQUIRE(result.get_response());
    CHECK(result.get_response()->get_body() == "a");
}

TEST_CASE("A request at a stop keeps its deadline without a longer timeout",
    "[upstream]")
{
    const auto timeout = GENERATE(std::optional<core::milliseconds>(),
        std::optional(core::milliseconds(50)));
    const auto result = dispatch_with_changed_timeout(timeout, true);
    CHECK_FALSE(result.get_response());
    CHECK(result.get_certainty() == run_certainty::unknown);
}

TEST_CASE(
    "A longer timeout does not prolong a request before a stop", "[upstream]")
{
    CHECK_FALSE(dispatch_with_changed_timeout(core::milliseconds(900), false)
                    .get_response());
}

// Guards against requests that are sent to one worker after the other when
// their deadline has passed, since each such send counts as not sent.
TEST_CASE(
    "A request at a stop is sent to no worker after its deadline", "[upstream]")
{
    asio::io_context context;
    placed_fleet fleet(
        context, 3, [](int, const std::string&) { return "hang"; });
    fleet.timeouts.timeout = core::milliseconds(300);
    fleet.sender.begin_stop();
    const auto request = make_request("a", true, core::milliseconds(100))
                             .with_patience(caller_patience::make(
                                 core::runtime_clock::now(), core::seconds(1)));
    const auto result = dispatch_and_settle(context, fleet, request);
    CHECK_FALSE(result.get_response());
    CHECK(fleet.arrivals <= 2);
}
