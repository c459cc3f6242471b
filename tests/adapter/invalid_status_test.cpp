#include "worker_codec.hpp"

#include "upstream/placed_fleet.hpp"
#include "upstream/scripted_worker.hpp"
#include "upstream/worker_connection.hpp"

#include <catch2/catch.hpp>

#include <string>

using namespace pollenward;
using namespace pollenward::upstream;
using namespace pollenward::upstream::testing;

namespace {

/// A signed answer to the request, whole apart from its status line.
std::string signed_answer(
    const std::string& status_line, const std::string& id = "id-1")
{
    return status_line + "\r\nRequest-Id: " + id
        + "\r\nServer-Signature: 3e1b.07.5a2\r\n"
          "Content-Length: 4\r\n\r\nbody";
}

forward_request make_request_with(const std::string& method)
{
    const bool is_idempotent = method == "GET";
    return forward_request::make(core::request_id("id-1"),
        core::service_id("service"), core::kind_id("kind"),
        core::rank::standard, is_idempotent,
        core::runtime_clock::now() + core::seconds(30),
        request_message::make(method, "/work", {}, {}));
}

/// The result of a request on a fresh connection, or on one that has carried an
/// answer. The connection must be usable again after an answer only.
template <class Codec>
exchange_result exchange_with_worker_that_sends(
    const std::string& bytes, const std::string& method, bool is_kept)
{
    asio::io_context context;
    scripted_worker server(
        context, [&](tcp::socket& socket, int) -> asio::awaitable<void> {
            if (is_kept)
            {
                co_await read_header(socket);
                co_await send_text(socket, signed_answer("HTTP/1.1 200 OK"));
            }
            co_await read_header(socket);
            co_await send_text(socket, bytes);
            co_await read_header(socket);
        });
    const auto run = [&]() -> asio::awaitable<exchange_result> {
        worker_connection connection(co_await asio::this_coro::executor,
            server.get_worker().get_address());
        const auto request = make_request_with(method);
        core::error reason;
        co_await connection.connect(request.get_deadline(), reason);
        if (is_kept)
        {
            co_await connection.template exchange<Codec>(request);
        }
        CHECK(connection.is_reusable());
        auto result = co_await connection.template exchange<Codec>(request);
        CHECK(connection.is_reusable() == result.get_response().has_value());
        co_return result;
    };
    return run_to_end(context, run());
}

std::string invalid_status_line()
{
    return GENERATE(as<std::string>(), "HTTP/1.1 000 x", "HTTP/1.1 099 x",
        "HTTP/1.1 00 x", "HTTP/1.1 2000 x", "HTTP/1.1 101 x", "HTTP/1.1 199 x",
        "HTTP/1.1 600 x", "HTTP/1.1 999 x", "HTTP/2.0 200 OK");
}

} // namespace

// Guards against a worker in trouble whose answer with status 000 or 600 is
// passed to the caller.
TEMPLATE_TEST_CASE("an answer with an invalid status is no answer", "[adapter]",
    adapter::worker_codec, native_worker_codec)
{
    const std::string status_line = invalid_status_line();
    const std::string method = GENERATE(as<std::string>(), "GET", "POST");
    const bool is_kept = GENERATE(false, true);
    INFO(status_line << ", " << method << ", kept connection: " << is_kept);
    const auto result = exchange_with_worker_that_sends<TestType>(
        signed_answer(status_line), method, is_kept);
    CHECK_FALSE(result.get_response());
    CHECK(result.get_result() == attempt_result::broken_after_send);
    CHECK(certainty_of(result.get_result()) == run_certainty::unknown);
}

// Guards against valid answers that are discarded with the invalid ones.
TEMPLATE_TEST_CASE("the first and last final statuses are answers", "[adapter]",
    adapter::worker_codec, native_worker_codec)
{
    const unsigned status = GENERATE(200U, 299U, 404U, 500U, 599U);
    const std::string method = GENERATE(as<std::string>(), "GET", "POST");
    const bool is_kept = GENERATE(false, true);
    const auto result = exchange_with_worker_that_sends<TestType>(
        signed_answer("HTTP/1.1 " + std::to_string(status) + " x"), method,
        is_kept);
    CHECK(result.get_status() == status);
    CHECK(result.get_result() == attempt_result::answered);
}

// Guards against a second run: the worker may have run the request that it
// answered with an invalid status.
TEST_CASE("a request that is not idempotent is not repeated after an invalid "
          "status",
    "[adapter]")
{
    const std::string status_line = invalid_status_line();
    const bool is_kept = GENERATE(false, true);
    INFO(status_line << ", kept connection: " << is_kept);
    asio::io_context context;
    // A single worker: the second request reuses its connection.
    basic_placed_fleet<adapter::worker_codec> fleet(
        context, is_kept ? 1 : 3, [&](int, const std::string& id) {
            return signed_answer(
                id == "calm" ? "HTTP/1.1 200 OK" : status_line, id);
        });
    if (is_kept)
    {
        const auto calm
            = dispatch_and_settle(context, fleet, make_request("calm", false));
        REQUIRE(calm.get_response());
    }
    const auto result
        = dispatch_and_settle(context, fleet, make_request("id-1", false));
    CHECK_FALSE(result.get_response());
    CHECK(result.get_certainty() == run_certainty::unknown);
    CHECK(fleet.arrivals == (is_kept ? 2 : 1));
}
