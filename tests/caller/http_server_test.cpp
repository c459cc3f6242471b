#include "caller/server_fixture.hpp"

#include <boost/asio/use_future.hpp>
#include <catch2/catch.hpp>

#include <array>
#include <memory>
#include <vector>

using namespace pollenward;
using namespace pollenward::caller;
using namespace pollenward::caller::test;
namespace asio = boost::asio;
using core::runtime_clock;

// Guards against bad input that reaches a worker or is kept without a limit,
// and against an answer without the outcome and the id that callers rely on.
TEST_CASE("bad requests are refused before they are handled", "[caller]")
{
    server_test test;
    caller_socket caller(test);
    const auto refused = [&](const std::string& sent, const char* status) {
        caller.send(sent);
        const auto answer = caller.read_all();
        INFO(sent.substr(0, 200) << answer);
        CHECK(has(answer, std::string("HTTP/1.1 ") + status));
        CHECK(has(answer, "Request-Outcome: not-run"));
        CHECK(has(answer, "Request-Id: "));
        CHECK(test.handler.started == 0);
    };
    const std::string post = "POST /votes HTTP/1.1\r\nHost: a\r\n";
    SECTION("malformed")
    {
        refused("nonsense\r\n\r\n", "400");
    }
    SECTION("id")
    {
        refused(get("/votes", "Request-Id: a b\r\n"), "400");
    }
    SECTION("two ids")
    {
        refused(get("/votes", "Request-Id: a\r\nRequest-Id: b\r\n"), "400");
    }
    SECTION("timeout")
    {
        refused(get("/votes", "Request-Timeout-Ms: -1\r\n"), "400");
    }
    SECTION("no host")
    {
        refused("GET /votes HTTP/1.1\r\n\r\n", "400");
    }
    SECTION("no route")
    {
        refused(get("/other"), "404");
    }
    SECTION("announced body")
    {
        refused(
            post + "Expect: 100-continue\r\nContent-Length: 11\r\n\r\n", "413");
    }
    SECTION("chunked body")
    {
        refused(post + "Transfer-Encoding: chunked\r\n\r\nb\r\n12345678901\r\n",
            "413");
    }
    SECTION("header")
    {
        refused(get("/votes", "A: " + std::string(20000, 'a') + "\r\n"), "431");
    }
    const std::string chunked = post + "Transfer-Encoding: chunked\r\n\r\n";
    SECTION("trailer fields without an end")
    {
        std::string fields;
        while (fields.size() <= max_pipelined_bytes)
        {
            fields += "A: " + std::string(1000, 'a') + "\r\n";
        }
        refused(chunked + "0\r\n" + fields + fields, "431");
    }
    SECTION("trailer line without an end")
    {
        refused(
            chunked + "0\r\nA: " + std::string(max_pipelined_bytes * 2, 'a'),
            "431");
    }
    SECTION("chunk line without an end")
    {
        refused(
            chunked + "1;" + std::string(max_pipelined_bytes * 2, 'a'), "431");
    }
}

// Guards against lost or reordered answers on one connection, and against a
// body in the answer to HEAD, which would be read as the next answer.
TEST_CASE("requests on one connection are answered in order", "[caller]")
{
    server_test test;
    caller_socket caller(test);
    caller.send(get("/votes/hold") + get("/votes/2")
        + "HEAD /votes/3 HTTP/1.1\r\nHost: a\r\n\r\n");
    test.handler.wait_for([&] { return bool(test.handler.release); });
    test.handler.release();
    CHECK(has(caller.read_until("/votes/hold"), "Request-Outcome: answered"));
    caller.read_until("/votes/2");
    CHECK(has(caller.read_until("\r\n\r\n"), "Content-Length: 8"));
    caller.send("POST /votes/4 HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n"
                "Expect: 100-continue\r\nRequest-Id: mine\r\n\r\n");
    CHECK(caller.read_until("\r\n\r\n").starts_with("HTTP/1.1 100"));
    caller.send("ab");
    CHECK(has(caller.read_until("/votes/4"), "Request-Id: mine"));
    CHECK(test.handler.cancelled == 0);
}

// Guards against callers that occupy a connection with an incomplete request.
TEST_CASE("a slow caller is told so and an idle one is closed", "[caller]")
{
    server_test test(0);
    caller_socket idle(test);
    caller_socket slow(test);
    test.run_ready();
    slow.send("GET /vo");
    test.run_ready();
    CHECK(test.server.in_flight() == 1);
    test.advance_and_run(caller_limits().get_header_time());
    CHECK(test.server.in_flight() == 0);
    slow.socket.shutdown(asio::socket_base::shutdown_send);
    test.run_ready();
    const auto answer = slow.read_all();
    CHECK(has(answer, "HTTP/1.1 408"));
    CHECK(has(answer, "Request-Outcome: not-run"));
    test.advance_and_run(caller_limits().get_idle());
    CHECK(idle.read_all().empty());
}

// Guards against work for a caller that has disconnected.
TEST_CASE("a request is cancelled when its caller disconnects", "[caller]")
{
    server_test test;
    caller_socket caller(test);
    caller.send(get("/votes/hold"));
    test.handler.wait_for([&] { return test.handler.started == 1; });
    SECTION("at once")
    {
        caller.socket.close();
    }
    SECTION("after its sending side")
    {
        caller.socket.shutdown(asio::socket_base::shutdown_send);
        caller.read_until("\r\n\r\n");
        caller.socket.set_option(asio::socket_base::linger(true, 0));
        caller.socket.close();
    }
    test.handler.wait_for([&] { return test.handler.cancelled == 1; });
}

// Guards against a caller that ends its sending side after its request and is
// taken for one that has left: a worker runs the request and nobody is
// answered.
TEST_CASE("a caller that only ended its sending side is answered", "[caller]")
{
    server_test test;
    caller_socket caller(test);
    caller.send(get("/votes/1"));
    caller.read_until("/votes/1");
    SECTION("one request")
    {
        caller.send(get("/votes/hold"));
    }
    SECTION("pipelined requests")
    {
        caller.send(get("/votes/hold") + get("/votes/2"));
    }
    test.handler.wait_for([&] { return bool(test.handler.release); });
    caller.socket.shutdown(asio::socket_base::shutdown_send);
    // RFC 9110, 15.2: a caller skips interim responses.
    CHECK(caller.read_until("\r\n\r\n") == "HTTP/1.1 100 Continue\r\n\r\n");
    test.advance(core::seconds(1));
    CHECK(caller.read_until("\r\n\r\n") == "HTTP/1.1 100 Continue\r\n\r\n");
    test.handler.release();
    const auto rest = caller.read_all();
    CHECK(has(rest, "HTTP/1.1 200"));
    CHECK(has(rest, "/votes/hold"));
    CHECK(has(rest, "/votes/2") == (test.handler.started == 3));
    CHECK(test.handler.cancelled == 0);
}

// Guards against an interim response to a caller of HTTP/1.0, which would take
// it for the answer.
TEST_CASE("a caller of HTTP/1.0 that ends its side has left", "[caller]")
{
    server_test test;
    caller_socket caller(test);
    caller.send("GET /votes/hold HTTP/1.0\r\n\r\n");
    test.handler.wait_for([&] { return test.handler.started == 1; });
    caller.socket.shutdown(asio::socket_base::shutdown_send);
    CHECK(caller.read_all().empty());
    test.handler.wait_for([&] { return test.handler.cancelled == 1; });
}

// Guards against bodies that are within the limit of one request and together
// exceed the memory of the process.
TEST_CASE("a body without memory for it is refused", "[caller]")
{
    server_test test;
    caller_socket first(test);
    caller_socket second(test);
    const std::string head = "POST /votes/hold HTTP/1.1\r\nHost: a\r\n";
    const std::string length = "Content-Length: 6\r\n\r\n";
    first.send(head + length + "123456");
    test.handler.wait_for([&] { return bool(test.handler.release); });
    SECTION("announced")
    {
        second.send(head + "Expect: 100-continue\r\n" + length);
    }
    SECTION("chunked")
    {
        second.send(
            head + "Transfer-Encoding: chunked\r\n\r\n8\r\n12345678\r\n");
    }
    const auto answer = second.read_until("\r\n\r\n");
    CHECK(has(answer, "HTTP/1.1 503"));
    CHECK(has(answer, "Request-Outcome: not-run"));
    CHECK(has(answer, "Retry-After: "));
    CHECK(test.handler.started == 1);
    test.handler.release();
    CHECK(has(first.read_until("/votes/hold"), "HTTP/1.1 200"));
}

// Guards against bodies that stop short of their end and keep other callers out
// until their time limit.
TEST_CASE("an incomplete body gives up its memory", "[caller]")
{
    server_test test(0);
    const std::string head = "POST /votes/1 HTTP/1.1\r\nHost: a\r\n";
    caller_socket first(test);
    first.send(head + "Content-Length: 10\r\n\r\n12345678");
    test.run_ready();
    caller_socket second(test);
    second.send(head + "Content-Length: 10\r\n\r\n1234567890");
    test.run_ready();
    // The first one was begun just now, and keeps its memory.
    CHECK(has(second.read_until("\r\n\r\n"), "HTTP/1.1 503"));
    test.advance_and_run(min_reading_time);
    caller_socket third(test);
    third.send(head + "Content-Length: 10\r\n\r\n1234567890");
    test.run_ready();
    const auto refused = first.read_until("\r\n\r\n");
    CHECK(has(refused, "HTTP/1.1 503"));
    CHECK(has(refused, "Request-Outcome: not-run"));
    CHECK(has(refused, "Retry-After: "));
    CHECK(has(third.read_until("\r\n\r\n"), "HTTP/1.1 503"));
    caller_socket fourth(test);
    fourth.send(head + "Content-Length: 10\r\n\r\n1234567890");
    test.run_ready();
    CHECK(has(fourth.read_until("/votes/1"), "HTTP/1.1 200"));
    CHECK(test.handler.started == 1);
}

// Guards against callers that use up the connections of a daemon with
// incomplete headers, and against one that loses the request that it has sent.
TEST_CASE("an incomplete header gives up its connection", "[caller]")
{
    server_test test(0);
    caller_socket busy(test);
    busy.send(get("/votes/hold"));
    test.run_ready();
    std::vector<std::unique_ptr<caller_socket>> slow;
    while (slow.size() + 1 < server_test::max_connections)
    {
        slow.push_back(std::make_unique<caller_socket>(test));
        slow.back()->send("GET /vo");
        test.run_ready();
    }
    caller_socket early(test);
    early.send(get("/votes/1"));
    test.run_ready();
    // No other one has been incomplete for long.
    const auto refused = early.read_until("\r\n\r\n");
    CHECK(has(refused, "HTTP/1.1 503"));
    CHECK(has(refused, "Retry-After: "));
    early.socket.close();
    test.run_ready();
    test.advance_and_run(min_reading_time);
    caller_socket later(test);
    later.send(get("/votes/2"));
    test.run_ready();
    CHECK(has(later.read_until("/votes/2"), "HTTP/1.1 200"));
    CHECK(has(slow.front()->read_until("\r\n\r\n"), "HTTP/1.1 503"));
    test.handler.release();
    test.run_ready();
    CHECK(has(busy.read_until("/votes/hold"), "HTTP/1.1 200"));
}

// Guards against a server that closes the connection of a caller without an
// answer while others use up its connections.
TEST_CASE(
    "a caller behind a crowd of incomplete headers is answered", "[caller]")
{
    server_test test(0);
    std::vector<std::unique_ptr<caller_socket>> crowd;
    while (crowd.size() < 4 * server_test::max_connections)
    {
        crowd.push_back(std::make_unique<caller_socket>(test));
        crowd.back()->send("GET /vo");
    }
    caller_socket ordinary(test);
    ordinary.send(get("/votes/1"));
    test.run_ready();
    boost::system::error_code none_yet;
    ordinary.socket.non_blocking(true);
    std::array<char, 1> byte{};
    ordinary.socket.read_some(asio::buffer(byte), none_yet);
    CHECK(none_yet == asio::error::would_block);
    ordinary.socket.non_blocking(false);
    for (int i = 0; i < 500; ++i)
    {
        test.advance_and_run(core::room_check_interval);
    }
    CHECK(has(ordinary.read_until("/votes/1"), "HTTP/1.1 200"));
    test.advance_and_run(caller_limits().get_header_time());
    for (const auto& each : crowd)
    {
        const auto refused = each->read_until("\r\n\r\n");
        CHECK((has(refused, "HTTP/1.1 503") || has(refused, "HTTP/1.1 408")));
    }
}

// Guards against refused callers that keep their connections and so make place
// for running requests, until there is none to refuse others.
TEST_CASE("a refused connection makes no place for another one", "[caller]")
{
    constexpr int max_served = 16;
    server_test test(0);
    http_server<one_route, echo_handler> server(test.context, test.routes,
        test.handler, body_memory::unlimited(), max_served);
    core::error reason;
    REQUIRE(
        server.listen(*core::endpoint::create("127.0.0.1:0", reason), reason));
    std::vector<std::unique_ptr<caller_socket>> callers;
    const auto call = [&](const std::string& target) {
        callers.push_back(std::make_unique<caller_socket>(server.get_port()));
        callers.back()->send(get(target));
        test.run_ready();
    };
    for (int i = 0; i < max_served; ++i)
    {
        call("/votes/hold");
    }
    for (int i = 0; i < 4; ++i)
    {
        call("/votes/1");
        test.advance_and_run(min_lingering_time);
        CHECK(has(callers.back()->read_until("\r\n\r\n"), "HTTP/1.1 503"));
    }
    CHECK(test.handler.started == max_served);
}

// Guards against small bodies in chunks that need the memory of large ones,
// which others may hold.
TEST_CASE(
    "a small body in chunks fits into the part for small ones", "[caller]")
{
    server_test test(0);
    http_server<one_route, echo_handler> server(test.context, test.routes,
        test.handler,
        body_memory::make(core::memory_budget::make(max_small_body_bytes),
            core::memory_budget::make(0)));
    core::error reason;
    REQUIRE(
        server.listen(*core::endpoint::create("127.0.0.1:0", reason), reason));
    caller_socket caller(server.get_port());
    constexpr std::size_t chunk_bytes = 4000;
    const std::string chunk
        = "fa0\r\n" + std::string(chunk_bytes, 'x') + "\r\n";
    caller.send("POST /votes/large HTTP/1.1\r\nHost: a\r\n"
                "Transfer-Encoding: chunked\r\n\r\n");
    for (std::size_t sent = 0; sent < 10 * chunk_bytes; sent += chunk_bytes)
    {
        caller.send(chunk);
        test.run_ready();
    }
    caller.send("0\r\n\r\n");
    test.run_ready();
    CHECK(has(caller.read_until("\r\n\r\n"), "HTTP/1.1 200"));
}

// Guards against a drain that goes on beyond its limit because there is no room
// for the callers that wait to be accepted.
TEST_CASE("a drain with too many callers ends at its limit", "[caller]")
{
    server_test test(0);
    std::vector<std::unique_ptr<caller_socket>> crowd;
    while (crowd.size() < 4 * server_test::max_connections)
    {
        crowd.push_back(std::make_unique<caller_socket>(test));
        crowd.back()->send(get("/votes/hold"));
    }
    test.run_ready();
    test.server.stop_accepting();
    test.server.begin_drain();
    auto drained = asio::co_spawn(test.context,
        test.server.wait_until_idle(runtime_clock::now() + core::seconds(3)),
        asio::use_future);
    test.run_ready();
    CHECK(drained.wait_for(std::chrono::seconds(0))
        == std::future_status::timeout);
    for (int i = 0; i < 300; ++i)
    {
        test.advance_and_run(core::room_check_interval);
    }
    REQUIRE(
        drained.wait_for(std::chrono::seconds(0)) == std::future_status::ready);
    CHECK_FALSE(drained.get());
}

// Guards against an idle timeout that discards a request which arrived before
// the connection was closed.
TEST_CASE("a request at the end of the idle time is answered", "[caller]")
{
    server_test test(0);
    caller_socket caller(test);
    test.run_ready();
    runtime_clock::advance(caller_limits().get_idle());
    // Runs one handler only: the idle timer is due, and its handler is queued.
    core::wake_timers(test.context.get_executor());
    test.context.run_one();
    caller.send(get("/votes/1"));
    test.run_ready();
    REQUIRE(test.handler.started == 1);
    CHECK(has(caller.read_until("/votes/1"), "HTTP/1.1 200"));
}

// Guards against a connection that is closed by an idle timeout which is no
// longer in force, while callers rely on the longer one.
TEST_CASE("a longer idle timeout applies to connections that wait", "[caller]")
{
    server_test test(0);
    caller_socket caller(test);
    test.run_ready();
    const auto before = test.routes.limits;
    test.routes.limits = operators::ingress_limits::make(
        before.get_header_bytes(), before.get_body_bytes(),
        before.get_header_time(), before.get_idle() * 2);
    test.advance_and_run(before.get_idle());
    SECTION("for a request")
    {
        caller.send(get("/votes/1"));
        test.run_ready();
        REQUIRE(test.handler.started == 1);
        CHECK(has(caller.read_until("/votes/1"), "HTTP/1.1 200"));
    }
    SECTION("until it is over")
    {
        test.advance_and_run(before.get_idle());
        CHECK(caller.read_all().empty());
    }
    SECTION("until a drain begins")
    {
        test.server.begin_drain();
        test.run_ready();
        CHECK(caller.read_all().empty());
    }
}

// Guards against an exception between the end of a request and its answer,
// which closes the connection of a request that has run.
TEST_CASE("unusual fields of a worker do not prevent the answer", "[caller]")
{
    http_request request;
    request.version(11);
    request.method(boost::beast::http::verb::get);
    const auto field = [](const char* name, std::string value) {
        return core::header_field::make(name, std::move(value));
    };
    // A worker's header has 8 KiB at most.
    const auto answer = caller_answer::make(outcome::answered(200),
        { field("A", std::string(8192, 'a')), field("A", ""),
            field("Connection", "close, A"), field("Keep-Alive", "timeout=1"),
            field("Transfer-Encoding", "chunked"), field("Trailer", "B"),
            field("Content-Length", "7"), field("Content-Length", "8") },
        core::shared_text::make("body"));
    auto response = to_response(answer, request, core::request_id("id"));
    response.keep_alive(true);
    CHECK(response.count("A") == 2);
    CHECK(response.count("Content-Length") == 1);
    CHECK(response["Content-Length"] == "4");
    CHECK_FALSE(response.chunked());
    CHECK(response.keep_alive());
}
