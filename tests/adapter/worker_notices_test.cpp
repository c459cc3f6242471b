#include "upstream/placed_fleet.hpp"
#include "worker_codec.hpp"

#include <catch2/catch.hpp>

#include <string>

using namespace pollenward;
using namespace pollenward::upstream::testing;

namespace {

using fleet = basic_placed_fleet<adapter::worker_codec>;

std::string signed_answer(
    const std::string& id, const std::string& status, const std::string& fields)
{
    return "HTTP/1.1 " + status + "\r\nRequest-Id: " + id
        + "\r\nServer-Signature: s\r\n" + fields + "Content-Length: 0\r\n\r\n";
}

std::string refusal(const std::string& fields)
{
    return "HTTP/1.1 503 x\r\nNot-Executed: 1\r\n" + fields
        + "Content-Length: 0\r\n\r\n";
}

/// The statuses of `count` requests, one after the other; 0 for no answer.
std::string send_in_turn(
    boost::asio::io_context& context, fleet& workers, int count)
{
    std::string statuses;
    for (int i = 0; i < count; ++i)
    {
        context.restart();
        const auto result = dispatch_and_settle(context, workers,
            make_request("id-" + std::to_string(i), false, core::seconds(2)));
        statuses += (i == 0 ? "" : " ")
            + std::to_string(result.get_response()
                    ? result.get_response()->get_status()
                    : 0);
    }
    return statuses;
}

} // namespace

// Guards against requests to a worker that has said in an answer, of whatever
// kind, that it leaves.
TEST_CASE(
    "a worker that says that it leaves gets no further request", "[adapter]")
{
    const std::string leaving = "Server-Leaving: 1\r\n";
    const bool is_refusal = GENERATE(false, true);
    const std::string status = GENERATE("200 OK", "500 x");
    boost::asio::io_context context;
    fleet workers(context, 1, [&](int, const std::string& id) {
        return is_refusal ? refusal(leaving)
                          : signed_answer(id, status, leaving);
    });
    send_in_turn(context, workers, 4);
    CHECK(workers.arrivals == 1);
}

// Guards against requests to a worker that wants none for a time, and against
// a caller that waits for it.
TEST_CASE(
    "a worker that asks for a pause gets no request meanwhile", "[adapter]")
{
    boost::asio::io_context context;
    fleet workers(context, 1, [](int, const std::string&) {
        return refusal("Retry-After: 30.5\r\n");
    });
    send_in_turn(context, workers, 4);
    CHECK(workers.arrivals == 1);
    context.restart();
    const auto result = dispatch_and_settle(
        context, workers, make_request("id", true, core::seconds(2)));
    CHECK(result.get_certainty() == upstream::run_certainty::not_run);
    REQUIRE(result.get_retry_after());
    CHECK(*result.get_retry_after() <= core::milliseconds(30'500));
    CHECK(*result.get_retry_after() > core::seconds(29));
}

// Guards against sound workers that are left out because of a bad value.
TEST_CASE("an unreadable pause is counted and has no effect", "[adapter]")
{
    const std::string value = GENERATE("soon", "-3", "");
    boost::asio::io_context context;
    fleet workers(context, 1, [&](int, const std::string&) {
        return refusal("Retry-After: " + value + "\r\n");
    });
    send_in_turn(context, workers, 2);
    CHECK(workers.arrivals == 2);
    const auto counts = workers.placement.get_notices().count();
    CHECK(counts.pauses == 0);
    CHECK(counts.unreadable_pauses == 2);
}

// Guards against a worker that is ejected because it asked for a pause.
TEST_CASE("a pause is no evidence against the worker", "[adapter]")
{
    const bool has_pause = GENERATE(true, false);
    boost::asio::io_context context;
    fleet workers(context, 1, [&](int, const std::string& id) {
        return signed_answer(
            id, "503 x", has_pause ? "Retry-After: 0.001\r\n" : "");
    });
    CHECK(send_in_turn(context, workers, 3) == "503 503 503");
    const auto traffic
        = workers.placement.own_traffic(core::runtime_clock::now());
    std::size_t failures = 0;
    for (const auto& [who, each] : traffic)
    {
        failures += each.get_samples().size();
    }
    CHECK((failures == 0) == has_pause);
}
