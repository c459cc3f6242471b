#include "caller_dialect.hpp"

#include "main/configuration_in_force.hpp"

#include <catch2/catch.hpp>

using namespace pollenward;
using adapter::caller_dialect;

namespace {

operators::kind_settings make_kind()
{
    core::error reason;
    return *operators::kind_settings::create(core::kind_id("k"),
        core::service_id("s"), false, core::rank::urgent,
        core::milliseconds(2000), core::byte_count(10), reason);
}

caller::http_request make_request()
{
    caller::http_request message;
    message.method_string("PUT");
    message.target("/a/b?c=d");
    message.version(11);
    message.set("Host", "one.example");
    message.set("Request-Id", "id-1");
    message.set("Request-Deadline", "5000");
    message.set("Custom", "kept");
    return message;
}

std::optional<caller::request_head> read(const caller::http_request& message,
    core::time_point now = core::time_point())
{
    core::error reason;
    return caller_dialect::read_head(
        message, make_kind(), core::milliseconds(60000), now, reason);
}

unsigned status_of(const caller::outcome& result)
{
    return caller_dialect::to_response(
        caller::caller_answer::without_body(result), make_request(),
        core::request_id("id-1"))
        .result_int();
}

} // namespace

// Guards against a request that runs on a route that does not cover it.
TEST_CASE("a path without a last slash is not below the prefix of its name",
    "[adapter]")
{
    CHECK(adapter::directory_of("/a/b") == "/a/");
    CHECK(adapter::directory_of("/a/") == "/a/");
    CHECK(adapter::directory_of("/a") == "/");
    CHECK(adapter::directory_of("/a/b?x=/c/") == "/a/");
}

// Guards against work that continues after the configured time-out.
TEST_CASE("the time left is the shorter of the caller's and the "
          "route's",
    "[adapter]")
{
    const core::time_point now = core::time_point() + core::seconds(1);
    auto message = make_request();
    CHECK(read(message, now)->get_deadline() == now + core::seconds(2));
    message.set("Request-Deadline", "700");
    CHECK(read(message, now)->get_deadline() == now + core::milliseconds(700));
    message.erase("Request-Deadline");
    CHECK(read(message, now)->get_deadline() == now + core::seconds(2));
}

// Guards against a run under an id that no caller sent, and against two
// readers of a message that see different ends of it.
TEST_CASE(
    "a request without its id or with unclear framing is refused", "[adapter]")
{
    auto message = make_request();
    message.erase("Request-Id");
    CHECK_FALSE(read(message));
    message = make_request();
    message.insert("Request-Id", "second");
    CHECK_FALSE(read(message));
    message = make_request();
    message.set("Transfer-Encoding", "gzip, chunked");
    CHECK_FALSE(read(message));
    message = make_request();
    message.erase("Host");
    CHECK_FALSE(read(message));
}

TEST_CASE("end-to-end fields and the host go to the worker", "[adapter]")
{
    auto message = make_request();
    message.set("Connection", "close, X-Hop");
    message.set("X-Hop", "1");
    const auto sent = caller_dialect::to_message(message, {});
    std::string names;
    for (const auto& field : sent.get_headers())
    {
        names += field.get_name() + "=" + field.get_value() + ";";
    }
    CHECK(names == "Custom=kept;Host=one.example;");
    CHECK(sent.get_target() == "/a/b?c=d");
}

// Guards against a false guarantee: 503 means that the request did not run.
TEST_CASE("only a certain outcome has a status that guarantees it", "[adapter]")
{
    using caller::outcome;
    CHECK(status_of(outcome::not_run(504, "late")) == 503);
    CHECK(status_of(outcome::not_run(422, "blocked")) == 503);
    CHECK(status_of(outcome::not_run(404, "no route")) == 404);
    CHECK(status_of(outcome::unknown(502, "lost")) == 502);
    CHECK(status_of(outcome::unknown(504, "late")) == 504);
    CHECK(status_of(outcome::unknown(422, "blocked")) == 502);
    CHECK(status_of(outcome::answered(500)) == 500);
}

TEST_CASE("a refusal gives Retry-After in fractions of a second", "[adapter]")
{
    const auto response = caller_dialect::to_response(
        caller::caller_answer::without_body(
            caller::outcome::not_run(503, "full", core::milliseconds(250))),
        make_request(), core::request_id("id-1"));
    CHECK(response["Retry-After"] == "0.250");
    CHECK(response["Request-Id"] == "id-1");
}

// Guards against a 404 for a route that exists, by a daemon that just started.
TEST_CASE("a daemon without a configuration answers 503", "[adapter]")
{
    const main::configuration_in_force empty;
    const auto answer = caller_dialect::answer_without_route(empty);
    CHECK(answer.get_outcome().get_status() == 503);
    CHECK(answer.get_outcome().get_kind() == caller::outcome_kind::not_run);
}
