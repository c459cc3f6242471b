#include "upstream/attempt_runner.hpp"

#include "scripted_worker.hpp"

#include <catch2/catch.hpp>

#include <optional>
#include <vector>

using namespace pollenward;
using namespace pollenward::upstream;
using namespace pollenward::upstream::testing;

namespace {

/// A pool and a runner with a retry budget of a tenth of the earlier requests.
class runner_fixture {
public:
    explicit runner_fixture(asio::io_context& context, int earlier = 30)
        : pool(context.get_executor())
        , runner(pool, state)
    {
        for (int i = 0; i < earlier; ++i)
        {
            this->state.count_request(make_request("earlier", true));
        }
    }

    /// Leaves connections in the pool that look reusable; the one that was
    /// opened last is used first.
    void add_idle(asio::io_context& context, const worker& target, int count)
    {
        std::vector<connection_lease> leases;
        core::error reason;
        for (int i = 0; i < count; ++i)
        {
            leases.push_back(*this->pool.acquire_fresh(target, count + 1));
            REQUIRE(run_to_end(context,
                leases.back().get_connection().connect(
                    core::runtime_clock::now() + core::seconds(1), reason)));
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
                co_await send_text(socket, answer_text(request_id_of(header)));
            }
            co_await answer_all(socket);
        });
    const auto target = server.get_worker();
    const auto late = run_to_end(context,
        fixture.runner.run(target, make_request("a", false, core::seconds(1))));
    CHECK(late.get_last().get_result() == attempt_result::timed_out);
    CHECK(late.get_certainty() == run_certainty::unknown);
    CHECK(fixture.pool.count_open(target.get_id()) == 0);
    const auto next = run_to_end(
        context, fixture.runner.run(target, make_request("b", false)));
    REQUIRE(next.get_last().get_response());
    CHECK(next.get_last().get_response()->get_body() == "b");
    CHECK(fixture.pool.count_open(target.get_id()) == 1);
}

// Guards against evidence against a worker because of a connection that went
// silent, and against losing the request with the connection.
TEST_CASE("a silent connection is no evidence against its worker", "[upstream]")
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
            co_await send_text(socket,
                answer_text(request_id_of(co_await read_header(socket))));
            co_await read_header(socket);
            clock.advance(context, core::milliseconds(1100));
            co_await read_header(socket);
        });
    const auto target = server.get_worker();
    run_to_end(context, fixture.runner.run(target, make_request("a", true)));
    const auto outcome = run_to_end(
        context, fixture.runner.run(target, make_request("b", true)));
    REQUIRE(outcome.get_last().get_response());
    CHECK(outcome.get_last().get_response()->get_body() == "b");
    CHECK(outcome.get_evidence() == attempt_result::answered);
    CHECK(fixture.runner.count_faulty_connections() == 1);
}

// Guards against cutting or repeating a request that a healthy worker takes
// longer than the progress limit to answer, and against exchanges beyond the
// retry budget.
TEST_CASE("a slow answer is waited for", "[upstream]")
{
    const auto [is_idempotent, is_reused, has_budget] = GENERATE(
        table<bool, bool, bool>({ { true, false, true }, { true, true, false },
            { true, true, true }, { false, true, true } }));
    const bool is_doubled = is_idempotent && is_reused && has_budget;
    paused_clock clock;
    asio::io_context context;
    runner_fixture fixture(context, has_budget ? 10 : 9);
    event second_sent(context);
    event cancelled(context);
    int open_at_answer = 0;
    scripted_worker server(
        context, [&](tcp::socket& socket, int number) -> asio::awaitable<void> {
            const auto header = co_await read_header(socket);
            if (header.find("/cancel/b") != std::string::npos)
            {
                cancelled.set();
            }
            else if (number > 1)
            {
                second_sent.set();
                co_await read_header(socket);
            }
            else
            {
                // Timers fire in order, so that the one of the progress limit,
                // if there is one, has fired before this one.
                const auto limit
                    = core::runtime_clock::now() + core::milliseconds(1100);
                clock.advance(context, core::milliseconds(1100));
                co_await core::wait_until(limit);
                if (is_doubled)
                {
                    co_await second_sent.wait();
                }
                clock.advance(context, core::milliseconds(400));
                open_at_answer
                    = fixture.pool.count_open(core::worker_id("worker"));
                co_await send_text(socket, answer_text("b"));
                co_await read_header(socket);
            }
        });
    const auto target = server.get_worker();
    fixture.add_idle(context, target, is_reused ? 1 : 0);
    const auto request = make_request("b", is_idempotent, core::seconds(5));
    const auto run = [&]() -> asio::awaitable<attempt_outcome> {
        auto outcome = co_await fixture.runner.run(target, request);
        if (is_doubled)
        {
            co_await cancelled.wait();
        }
        co_return outcome;
    };
    const auto outcome = run_to_end(context, run());
    REQUIRE(outcome.get_last().get_response());
    CHECK(outcome.get_last().get_response()->get_body() == "b");
    CHECK(outcome.get_evidence() == attempt_result::answered);
    CHECK(open_at_answer == (is_doubled ? 2 : 1));
    CHECK(fixture.pool.count_open(target.get_id()) == 1);
    CHECK(fixture.runner.count_faulty_connections() == 0);
    CHECK(fixture.state.try_acquire_resend(
              make_request("c", true), core::runtime_clock::now())
        == (has_budget && !is_doubled));
}

// Guards against the late answer of the slower of two exchanges reaching the
// next request, and against idle connections that failed together with a silent
// one or exceed the limit.
TEST_CASE("the slower of two exchanges is never used again", "[upstream]")
{
    paused_clock clock;
    asio::io_context context;
    runner_fixture fixture(context);
    event won(context);
    event late(context);
    int open_beside = 0;
    scripted_worker server(
        context, [&](tcp::socket& socket, int number) -> asio::awaitable<void> {
            const auto header = co_await read_header(socket);
            if (number == 3)
            {
                clock.advance(context, core::milliseconds(1100));
                co_await won.wait();
                co_await send_text(socket, answer_text("b"));
                late.set();
            }
            else if (number == 4)
            {
                open_beside
                    = fixture.pool.count_open(core::worker_id("worker"));
                co_await send_text(socket, answer_text(request_id_of(header)));
                co_await answer_all(socket);
            }
        });
    const auto target = server.get_worker();
    fixture.state.store_limits(core::service_id("service"),
        service_dispatch_limits::make(
            core::slot_count(3), core::slot_count(3), 1, {}));
    fixture.add_idle(context, target, 3);
    const auto outcome = run_to_end(
        context, fixture.runner.run(target, make_request("b", true)));
    REQUIRE(outcome.get_last().get_response());
    CHECK(outcome.get_evidence() == attempt_result::answered);
    CHECK(open_beside == 3);
    CHECK(fixture.pool.count_open(target.get_id()) == 1);
    CHECK(fixture.runner.count_faulty_connections() == 1);
    won.set();
    const auto run_next = [&]() -> asio::awaitable<attempt_outcome> {
        co_await late.wait();
        co_return co_await fixture.runner.run(target, make_request("c", true));
    };
    const auto next = run_to_end(context, run_next());
    REQUIRE(next.get_last().get_response());
    CHECK(next.get_last().get_response()->get_body() == "c");
}

// Guards against abandoning a request that the worker still runs because it
// refuses the second exchange.
TEST_CASE("a refused second exchange does not end the first", "[upstream]")
{
    paused_clock clock;
    asio::io_context context;
    runner_fixture fixture(context);
    event refused(context);
    scripted_worker server(
        context, [&](tcp::socket& socket, int number) -> asio::awaitable<void> {
            co_await read_header(socket);
            if (number == 1)
            {
                clock.advance(context, core::milliseconds(1100));
                co_await refused.wait();
                co_await send_text(socket, answer_text("b"));
            }
            else
            {
                co_await send_text(socket,
                    "HTTP/1.1 503 x\r\nWorker-State: shed\r\n"
                    "Connection: close\r\nContent-Length: 0\r\n\r\n");
                // The dispatcher closes the connection once it has read this.
                co_await read_header(socket);
                refused.set();
            }
        });
    const auto target = server.get_worker();
    fixture.add_idle(context, target, 1);
    const auto outcome = run_to_end(
        context, fixture.runner.run(target, make_request("b", true)));
    REQUIRE(outcome.get_last().get_response());
    CHECK(outcome.get_last().get_response()->get_body() == "b");
    CHECK(outcome.get_evidence() == attempt_result::answered);
}

// Guards against evidence against a worker because of a pooled connection
// alone, and against missing evidence when it does not answer on a fresh
// connection either.
TEST_CASE("a request without any answer ends at its deadline", "[upstream]")
{
    const auto [is_reused, has_budget] = GENERATE(table<bool, bool>(
        { { false, true }, { true, false }, { true, true } }));
    paused_clock clock;
    asio::io_context context;
    runner_fixture fixture(context, has_budget ? 10 : 0);
    event second_sent(context);
    scripted_worker server(
        context, [&](tcp::socket& socket, int number) -> asio::awaitable<void> {
            co_await read_header(socket);
            if (number == 1)
            {
                clock.advance(context, core::milliseconds(1100));
                if (is_reused && has_budget)
                {
                    co_await second_sent.wait();
                }
                clock.advance(context, core::seconds(4));
            }
            second_sent.set();
            co_await read_header(socket);
        });
    const auto target = server.get_worker();
    fixture.add_idle(context, target, is_reused ? 1 : 0);
    const auto outcome = run_to_end(context,
        fixture.runner.run(target, make_request("b", true, core::seconds(5))));
    CHECK(outcome.get_last().get_result() == attempt_result::timed_out);
    CHECK(outcome.get_certainty() == run_certainty::unknown);
    CHECK(outcome.get_evidence()
        == (has_budget ? std::optional(attempt_result::timed_out)
                       : std::nullopt));
    CHECK(fixture.pool.count_open(target.get_id()) == 0);
}

// Guards against a second run over a pooled connection: once a byte was
// written, only an idempotent request is repeated.
TEST_CASE("a broken pooled connection is retried only safely", "[upstream]")
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
                    co_await send_text(
                        socket, answer_text(request_id_of(header)));
                }
            });
        const auto target = server.get_worker();
        run_to_end(
            context, fixture.runner.run(target, make_request("a", true)));
        const auto outcome = run_to_end(context,
            fixture.runner.run(target, make_request("b", is_idempotent)));
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
                co_await send_text(socket,
                    answer_text(request_id_of(co_await read_header(socket))));
                co_await send_text(socket, stray);
                socket.shutdown(tcp::socket::shutdown_send);
                is_closed = true;
                closed.cancel();
                co_await read_header(socket);
            });
        const auto target = server.get_worker();
        const auto run = [&]() -> asio::awaitable<attempt_outcome> {
            co_await fixture.runner.run(target, make_request("a", false));
            boost::system::error_code ignored;
            if (!is_closed)
            {
                co_await closed.async_wait(
                    asio::redirect_error(asio::use_awaitable, ignored));
            }
            co_return co_await fixture.runner.run(
                target, make_request("c", false));
        };
        const auto outcome = run_to_end(context, run());
        REQUIRE(outcome.get_last().get_response());
        CHECK(outcome.get_last().get_response()->get_body() == "c");
        CHECK(fixture.pool.count_open(target.get_id()) == 1);
    }
}

// Guards against more connections to a worker than this daemon may open.
TEST_CASE("a pool stays within the limit of a worker", "[upstream]")
{
    asio::io_context context;
    connection_pool pool(context.get_executor());
    const auto target = worker::make(core::worker_id("worker"), {}, {}, false);
    const core::time_point now;
    {
        const auto first = pool.acquire(target, 2, now);
        const auto second = pool.acquire(target, 2, now);
        CHECK(second.has_value());
        CHECK_FALSE(pool.acquire(target, 2, now));
    }
    CHECK(pool.count_open(target.get_id()) == 0);
    CHECK(pool.acquire(target, 2, now));
}
