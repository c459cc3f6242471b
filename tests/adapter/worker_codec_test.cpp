#include "worker_codec.hpp"

#include "upstream/scripted_worker.hpp"
#include "upstream/worker_connection.hpp"

#include <catch2/catch.hpp>

#include <cmath>
#include <optional>
#include <vector>

using namespace pollenward;
using adapter::worker_codec;
using upstream::attempt_result;

namespace {

upstream::worker_response make_response(unsigned status, const char* id)
{
    upstream::worker_response made;
    made.result(status);
    made.set("Server-Signature", "signed");
    if (id != nullptr)
    {
        made.set("Request-Id", id);
    }
    return made;
}

attempt_result result_of(const upstream::worker_response& response)
{
    return worker_codec::decode_response(
        response, core::request_id("id-1"), core::endpoint())
        .get_result();
}

} // namespace

// Guards against work that continues after its caller's time-out and against a
// run by a worker that reuses the address.
TEST_CASE("a request names its worker and the time that is left", "[adapter]")
{
    core::runtime_clock::pause();
    const auto request
        = upstream::forward_request::make(core::request_id("id-1"),
            core::service_id("s"), core::kind_id("k"), core::rank::urgent, true,
            core::runtime_clock::now() + core::milliseconds(1500),
            upstream::request_message::make(
                "GET", "/a/b", { core::header_field::make("Host", "h") }, {}));
    const auto text = worker_codec::encode_header(
        request, core::worker_id("w-1"), core::endpoint());
    core::runtime_clock::resume();
    CHECK(text.rfind("GET /a/b HTTP/1.1\r\n", 0) == 0);
    CHECK(text.find("Request-Deadline: 1500\r\n") != std::string::npos);
    CHECK(text.find("Target-Instance: w-1\r\n") != std::string::npos);
    CHECK(text.find("Request-Id: id-1\r\n") != std::string::npos);
    CHECK(text.find("Host: h\r\n") != std::string::npos);
    CHECK(text.find("Content-Length") == std::string::npos);
}

// Guards against reporting "not run" to a caller without a refusal by the
// worker.
TEST_CASE("only a refusal by the worker counts as not run", "[adapter]")
{
    auto refusal = make_response(503, nullptr);
    CHECK(result_of(refusal) == attempt_result::broken_after_send);
    refusal.set("Not-Executed", "1");
    CHECK(result_of(refusal) == attempt_result::refused_shed);
    CHECK(result_of(make_response(421, nullptr))
        == attempt_result::refused_draining);
    CHECK(result_of(make_response(500, "id-1")) == attempt_result::answered);
}

// Guards against answers that reach the wrong caller or were changed.
TEST_CASE(
    "a success must be signed, unencoded and of this request", "[adapter]")
{
    CHECK(result_of(make_response(200, "id-1")) == attempt_result::answered);
    CHECK(result_of(make_response(200, "id-2"))
        == attempt_result::broken_after_send);
    CHECK(result_of(make_response(200, nullptr))
        == attempt_result::broken_after_send);
    auto unsigned_one = make_response(200, "id-1");
    unsigned_one.erase("Server-Signature");
    CHECK(result_of(unsigned_one) == attempt_result::broken_after_send);
    auto encoded = make_response(200, "id-1");
    encoded.set("Content-Encoding", "gzip");
    CHECK(result_of(encoded) == attempt_result::broken_after_send);
}

// Guards against a worker in need that is sent more than it accepts because its
// limit was read from successful answers only, or not at all.
TEST_CASE("every answer of a worker can state a limit", "[adapter]")
{
    const auto limit_of
        = [](upstream::worker_response response, const char* text) {
              response.set("server-limit", text);
              return worker_codec::decode_response(
                  response, core::request_id("id-1"), core::endpoint())
                  .get_rate_limit();
          };
    CHECK(limit_of(make_response(200, "id-1"), "2.25") == 2.25);
    CHECK(limit_of(make_response(500, "id-1"), "3") == 3.0);
    auto refusal = make_response(503, nullptr);
    refusal.set("Not-Executed", "1");
    CHECK(limit_of(refusal, "0") == 0.0);
    for (const char* invalid : { "", "x", "1x", "-1", "inf", "nan", "1e999" })
    {
        CHECK_FALSE(limit_of(make_response(200, "id-1"), invalid));
    }
    CHECK_FALSE(worker_codec::decode_response(
        make_response(200, "id-1"), core::request_id("id-1"), core::endpoint())
                    .get_rate_limit());
}

// Guards against a copy of an earlier refusal that is taken for the answer to a
// later request on the same connection: a refusal carries no id.
TEST_CASE("a connection is not used again after a refusal", "[adapter]")
{
    using namespace upstream::testing;
    const std::string refusal
        = "HTTP/1.1 503 x\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n";
    const std::string answer = "HTTP/1.1 200 OK\r\nRequest-Id: a\r\n"
                               "Server-Signature: s\r\n"
                               "Content-Length: 0\r\n\r\n";
    for (const bool is_refused : { true, false })
    {
        asio::io_context context;
        scripted_worker server(
            context, [&](tcp::socket& socket, int) -> asio::awaitable<void> {
                co_await read_header(socket);
                co_await send_text(socket, is_refused ? refusal : answer);
                co_await read_header(socket);
            });
        bool is_reusable = false;
        const auto run = [&]() -> asio::awaitable<upstream::exchange_result> {
            upstream::worker_connection connection(
                co_await asio::this_coro::executor,
                server.get_worker().get_address());
            const auto request = make_request("a", false);
            core::error reason;
            co_await connection.connect(request.get_deadline(), reason);
            auto result = co_await connection.exchange<worker_codec>(request);
            is_reusable = connection.is_reusable();
            co_return result;
        };
        const auto result = run_to_end(context, run());
        CHECK(result.get_result()
            == (is_refused ? attempt_result::refused_shed
                           : attempt_result::answered));
        CHECK(is_reusable == !is_refused);
    }
}

TEST_CASE("a load report gives running and waiting requests", "[adapter]")
{
    const auto load = [](const char* text) {
        return worker_codec::load_of(upstream::response_message::make(
            200, { core::header_field::make("server-load", text) }, {}));
    };
    CHECK(load("3,1,6") == std::pair(3.0, 1.0));
    CHECK_FALSE(load("x,1"));
    CHECK_FALSE(load("3"));
    CHECK_FALSE(
        worker_codec::load_of(upstream::response_message::make(200, {}, {})));
}

namespace {

/// The answers of every kind that a worker can send.
std::vector<upstream::worker_response> make_all_kinds()
{
    auto refusal = make_response(503, nullptr);
    refusal.set("Not-Executed", "1");
    auto unsigned_answer = make_response(200, "id-1");
    unsigned_answer.erase("Server-Signature");
    return { make_response(200, "id-1"), make_response(500, "id-1"),
        make_response(504, "id-1"), make_response(200, "another"), refusal,
        unsigned_answer };
}

std::optional<double> pause_of(unsigned status, const char* text)
{
    auto response = make_response(status, "id-1");
    response.set("Retry-After", text);
    return worker_codec::decode_response(
        response, core::request_id("id-1"), core::endpoint())
        .get_pause_seconds();
}

} // namespace

// Guards against requests to a worker that says in a refusal or a failure that
// it leaves.
TEST_CASE("every answer of a worker can say that it leaves", "[adapter]")
{
    for (auto& each : make_all_kinds())
    {
        const auto is_leaving = [&] {
            return worker_codec::decode_response(
                each, core::request_id("id-1"), core::endpoint())
                .is_leaving();
        };
        CHECK_FALSE(is_leaving());
        each.set("Server-Leaving", "0");
        CHECK_FALSE(is_leaving());
        each.set("Server-Leaving", "1");
        CHECK(is_leaving());
    }
}

// Guards against requests to a worker that wants none for a time.
TEST_CASE("a refusal states the seconds of a pause", "[adapter]")
{
    CHECK(pause_of(503, "2.5") == 2.5);
    CHECK(pause_of(503, "-1") == -1.0);
    CHECK(std::isnan(pause_of(503, "soon").value()));
    CHECK(std::isnan(pause_of(503, "2s").value()));
    CHECK(std::isnan(pause_of(503, "").value()));
    CHECK_FALSE(pause_of(500, "2.5"));
    CHECK_FALSE(pause_of(200, "2.5"));
    CHECK_FALSE(worker_codec::decode_response(
        make_response(503, "id-1"), core::request_id("id-1"), core::endpoint())
                    .get_pause_seconds());
}
