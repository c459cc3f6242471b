#include "upstream/attempt_runner.hpp"

#include "scripted_worker.hpp"

#include <catch2/catch.hpp>

using namespace pollenward;
using namespace pollenward::upstream;
using namespace pollenward::upstream::testing;

namespace {

/// A pool and a runner with a budget for a few repetitions.
class runner_fixture {
public:
    explicit runner_fixture(asio::io_context& context)
        : pool(context.get_executor())
        , runner(pool, state)
    {
        for (int i = 0; i < 30; ++i)
        {
            this->state.count_request(make_request("earlier", true));
        }
    }

    connection_pool pool;
    dispatch_state state;
    attempt_runner runner;
};

} // namespace

// Guards against the answer of a request that timed out reaching the next
// request over a pooled connection.
TEST_CASE("a late answer never reaches the next request", "[upstream]")
{
    paused_clock clock;
    asio::io_context context;
    runner_fixture fixture(context);
    scripted_worker server(
        context, [&](tcp::socket& socket, int number) -> asio::awaitable<void> {
            if (number == 1)
            {
                const auto header = co_await read_header(socket);
                clock.advance(context, core::seconds(2));
                co_await read_header(socket);
                co_await send_text(socket, answer_text(id_in(header)));
            }
            co_await answer_all(socket);
        });
    const auto who = server.get_worker();
    const auto late = run_to_end(context,
        fixture.runner.run(who, make_request("a", false, core::seconds(1))));
    CHECK(late.get_last().get_result() == attempt_result::timed_out);
    CHECK(late.get_certainty() == run_certainty::unknown);
    CHECK(fixture.pool.count_open(who.get_id()) == 0);
    const auto next = run_to_end(
        context, fixture.runner.run(who, make_request("b", false)));
    REQUIRE(next.get_last().get_response());
    CHECK(next.get_last().get_response()->get_body() == "b");
    CHECK(fixture.pool.count_open(who.get_id()) == 1);
}

// Guards against blaming a worker for a connection that went silent, and
// against losing the request with the connection.
TEST_CASE("a silent connection is replaced without blame", "[upstream]")
{
    paused_clock clock;
    asio::io_context context;
    runner_fixture fixture(context);
    scripted_worker server(
        context, [&](tcp::socket& socket, int number) -> asio::awaitable<void> {
            if (number > 1)
            {
                co_await answer_all(socket);
                co_return;
            }
            co_await send_text(
                socket, answer_text(id_in(co_await read_header(socket))));
            co_await read_header(socket);
            clock.advance(context, core::milliseconds(1100));
            co_await read_header(socket);
        });
    const auto who = server.get_worker();
    run_to_end(context, fixture.runner.run(who, make_request("a", true)));
    const auto outcome
        = run_to_end(context, fixture.runner.run(who, make_request("b", true)));
    REQUIRE(outcome.get_last().get_response());
    CHECK(outcome.get_last().get_response()->get_body() == "b");
    CHECK(outcome.get_evidence() == attempt_result::answered);
    CHECK(fixture.runner.count_faulty_connections() == 1);
}

// Guards against a second run over a pooled connection: once a byte was
// written, only an idempotent request is repeated.
TEST_CASE("a broken pooled connection repeats only safely", "[upstream]")
{
    for (const bool is_idempotent : { false, true })
    {
        asio::io_context context;
        runner_fixture fixture(context);
        int requests = 0;
        scripted_worker server(context,
            [&](tcp::socket& socket, int number) -> asio::awaitable<void> {
                while (true)
                {
                    const auto header = co_await read_header(socket);
                    requests += header.empty() ? 0 : 1;
                    if (header.empty() || (number == 1 && requests == 2))
                    {
                        co_return;
                    }
                    co_await send_text(socket, answer_text(id_in(header)));
                }
            });
        const auto who = server.get_worker();
        run_to_end(context, fixture.runner.run(who, make_request("a", true)));
        const auto outcome = run_to_end(
            context, fixture.runner.run(who, make_request("b", is_idempotent)));
        CHECK(outcome.get_last().get_response().has_value() == is_idempotent);
        CHECK(outcome.get_certainty()
            == (is_idempotent ? run_certainty::ran : run_certainty::unknown));
        CHECK(requests == (is_idempotent ? 3 : 2));
        CHECK_FALSE(outcome.is_crash());
    }
}

// Guards against losing a request to a connection that the worker closed or
// wrote to while it was idle: nothing was sent, so it runs on another.
TEST_CASE("an idle connection with pending input is not used", "[upstream]")
{
    for (const std::string& stray : { std::string(), answer_text("b") })
    {
        asio::io_context context;
        runner_fixture fixture(context);
        bool is_closed = false;
        core::runtime_timer closed(context, core::time_point::max());
        scripted_worker server(context,
            [&](tcp::socket& socket, int number) -> asio::awaitable<void> {
                if (number > 1)
                {
                    co_await answer_all(socket);
                    co_return;
                }
                co_await send_text(
                    socket, answer_text(id_in(co_await read_header(socket))));
                co_await send_text(socket, stray);
                socket.shutdown(tcp::socket::shutdown_send);
                is_closed = true;
                closed.cancel();
                co_await read_header(socket);
            });
        const auto who = server.get_worker();
        const auto run = [&]() -> asio::awaitable<attempt_outcome> {
            co_await fixture.runner.run(who, make_request("a", false));
            boost::system::error_code ignored;
            if (!is_closed)
            {
                co_await closed.async_wait(
                    asio::redirect_error(asio::use_awaitable, ignored));
            }
            co_return co_await fixture.runner.run(
                who, make_request("c", false));
        };
        const auto outcome = run_to_end(context, run());
        REQUIRE(outcome.get_last().get_response());
        CHECK(outcome.get_last().get_response()->get_body() == "c");
        CHECK(fixture.pool.count_open(who.get_id()) == 1);
    }
}

// Guards against more connections than the worker's share for this daemon.
TEST_CASE("a pool stays within the allowance of a worker", "[upstream]")
{
    asio::io_context context;
    connection_pool pool(context.get_executor());
    const auto who = worker::make(core::worker_id("worker"), {}, {}, false);
    const core::time_point now;
    {
        const auto first = pool.acquire(who, 2, now);
        const auto second = pool.acquire(who, 2, now);
        CHECK(second.has_value());
        CHECK_FALSE(pool.acquire(who, 2, now));
    }
    CHECK(pool.count_open(who.get_id()) == 0);
    CHECK(pool.acquire(who, 2, now));
}
