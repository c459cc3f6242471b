#include "caller/server_fixture.hpp"

#include <boost/asio/use_future.hpp>
#include <catch2/catch.hpp>

using namespace pollenward;
using namespace pollenward::caller;
using namespace pollenward::caller::test;
namespace asio = boost::asio;
using core::runtime_clock;

// Guards against a planned stop that passes on a request which became whole
// late in the grace, and is then cut while a worker runs it.
TEST_CASE("a request that becomes whole during a drain is refused", "[caller]")
{
    server_test test;
    caller_socket slow(test);
    slow.send("POST /votes/1 HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n"
              "Expect: 100-continue\r\n\r\n");
    CHECK(slow.read_until("\r\n\r\n").starts_with("HTTP/1.1 100"));
    test.server.stop_accepting();
    test.server.begin_drain();
    slow.send("ab");
    const auto answer = slow.read_until("\r\n\r\n");
    CHECK(has(answer, "HTTP/1.1 503"));
    CHECK(has(answer, "Request-Outcome: not-run"));
    CHECK(has(answer, "Retry-After: "));
    CHECK(has(answer, "Connection: close"));
    CHECK(test.handler.started == 0);
}

// Guards against a shutdown that interrupts a request, that never ends, or
// that cuts requests without counting them.
TEST_CASE("a drain lets requests end and closes idle connections", "[caller]")
{
    server_test test;
    caller_socket busy(test);
    caller_socket idle(test);
    idle.send(get("/votes/1"));
    idle.read_until("/votes/1");
    busy.send(get("/votes/hold"));
    test.handler.wait_for([&] { return bool(test.handler.release); });
    test.server.stop_accepting();
    test.server.begin_drain();
    CHECK(idle.read_all().empty());
    CHECK(test.server.in_flight() == 1);
    auto is_idle = asio::co_spawn(test.context,
        test.server.wait_until_idle(runtime_clock::now() + core::seconds(5)),
        asio::use_future);
    SECTION("in time")
    {
        test.handler.release();
        CHECK(has(busy.read_all(), "Connection: close"));
        busy.socket.close();
        CHECK(is_idle.get());
        CHECK(test.server.close_all() == 0);
    }
    SECTION("not in time")
    {
        test.advance(core::seconds(5));
        CHECK_FALSE(is_idle.get());
        CHECK(test.server.close_all() == 1);
        test.handler.wait_for([&] { return test.handler.cancelled == 1; });
    }
}

// Guards against a drain that closes a connection whose request has been read
// from the kernel and not yet been seen by the server.
TEST_CASE("a request that was just read is answered by a drain", "[caller]")
{
    server_test test(0);
    caller_socket first(test);
    caller_socket second(test);
    test.run_ready();
    first.send(get("/votes/1"));
    second.send(get("/votes/2"));
    // Both sockets are reported at once, and one handler runs at a time: the
    // drain begins before the second socket is read.
    test.context.poll_one();
    test.server.begin_drain();
    test.run_ready();
    CHECK(has(first.read_until("\r\n\r\n"), "HTTP/1.1 503"));
    CHECK(has(second.read_until("\r\n\r\n"), "HTTP/1.1 503"));
    CHECK(test.handler.started == 0);
}

// Guards against a listener whose close resets connections that the kernel has
// completed and the server has not accepted, with the requests that were sent.
TEST_CASE("a request on a connection that waits to be accepted is answered by "
          "a drain",
    "[caller]")
{
    server_test test(0);
    test.run_ready();
    caller_socket first(test);
    caller_socket second(test);
    first.send(get("/votes/1"));
    second.send(get("/votes/2"));
    test.server.stop_accepting();
    test.server.begin_drain();
    auto drained = asio::co_spawn(test.context,
        test.server.wait_until_idle(runtime_clock::now() + core::seconds(3)),
        asio::use_future);
    test.run_ready();
    CHECK(drained.wait_for(std::chrono::seconds(0))
        == std::future_status::timeout);
    CHECK(has(first.read_until("\r\n\r\n"), "HTTP/1.1 503"));
    CHECK(has(second.read_until("\r\n\r\n"), "HTTP/1.1 503"));
    CHECK(test.handler.started == 0);
    first.socket.close();
    second.socket.close();
    test.run_ready();
    CHECK(drained.get());
}

// Guards against a process that ends while a request that has arrived is
// unread, or before the caller has received the last answer: the kernel resets
// a connection with unread bytes and discards the rest of the answer.
TEST_CASE("a drain ends after the connections are closed", "[caller]")
{
    server_test test(0);
    caller_socket caller(test);
    test.run_ready();
    const auto is_over = [](const std::future<bool>& drained) {
        return drained.wait_for(std::chrono::seconds(0))
            == std::future_status::ready;
    };
    const auto begin_wait = [&] {
        test.server.begin_drain();
        return asio::co_spawn(test.context,
            test.server.wait_until_idle(
                runtime_clock::now() + core::seconds(5)),
            asio::use_future);
    };
    SECTION("a request has arrived")
    {
        caller.send(get("/votes/1"));
        auto drained = begin_wait();
        while (!is_over(drained) && caller.socket.available() == 0)
        {
            test.context.run_one();
        }
        REQUIRE_FALSE(is_over(drained));
        CHECK(has(caller.read_until("\r\n\r\n"), "HTTP/1.1 503"));
        caller.socket.close();
        test.run_ready();
        CHECK(is_over(drained));
    }
    SECTION("an answer is on its way")
    {
        caller.send(get("/votes/hold"));
        test.run_ready();
        auto drained = begin_wait();
        test.run_ready();
        test.handler.release();
        test.run_ready();
        CHECK_FALSE(is_over(drained));
        SECTION("and the caller closes the connection")
        {
            CHECK(has(caller.read_until("/votes/hold"), "Connection: close"));
            caller.socket.close();
            test.run_ready();
        }
        SECTION("and the caller never closes the connection")
        {
            test.advance_and_run(lingering_close_timeout);
        }
        CHECK(is_over(drained));
        CHECK(drained.get());
    }
}

// Guards against answers of requests that were passed on and are lost at a
// stop, and against requests behind them that run without an answer.
TEST_CASE("a stop answers what was passed on in a pipeline", "[caller]")
{
    server_test test(0);
    caller_socket caller(test);
    caller.send(get("/votes/1") + get("/votes/hold") + get("/votes/3"));
    test.run_ready();
    CHECK(test.handler.started == 2);
    SECTION("that closes")
    {
        test.server.begin_closing();
    }
    SECTION("that drains")
    {
        test.server.begin_drain();
    }
    caller.send(get("/votes/4"));
    test.run_ready();
    test.handler.release();
    test.run_ready();
    CHECK(has(caller.read_until("/votes/1"), "HTTP/1.1 200"));
    const auto last = caller.read_all();
    CHECK(has(last, "HTTP/1.1 200"));
    CHECK(has(last, "Connection: close"));
    CHECK(last.ends_with("/votes/hold"));
    CHECK(test.handler.started == 2);
}

// Guards against a stop that loses a request whose parts arrive before and
// after it.
TEST_CASE("a request in two parts is answered during a stop", "[caller]")
{
    server_test test(0);
    caller_socket caller(test);
    const std::string whole = get("/votes/1");
    caller.send(whole.substr(0, 20));
    test.run_ready();
    SECTION("that closes")
    {
        test.server.begin_closing();
        test.run_ready();
        caller.send(whole.substr(20));
        test.run_ready();
        const auto answer = caller.read_all();
        CHECK(has(answer, "HTTP/1.1 200"));
        CHECK(has(answer, "Connection: close"));
    }
    SECTION("that drains")
    {
        test.server.begin_drain();
        test.run_ready();
        caller.send(whole.substr(20));
        test.run_ready();
        CHECK(has(caller.read_all(), "HTTP/1.1 503"));
        CHECK(test.handler.started == 0);
    }
}

// Guards against a connection that stays open behind its last answer while the
// daemon has other work: a request that the caller sends on it is lost.
TEST_CASE("the end of the stream comes with the last answer", "[caller]")
{
    server_test test(0);
    caller_socket caller(test);
    caller.send(get("/votes/1", "Connection: close\r\n"));
    const auto answered = [&] { return caller.socket.available() > 0; };
    while (!answered())
    {
        test.context.run_one();
    }
    CHECK(has(caller.read_until("/votes/1"), "HTTP/1.1 200"));
    caller.socket.non_blocking(true);
    CHECK(caller.read_all() == "");
}
