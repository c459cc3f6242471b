#include "worker_codec.hpp"

#include "upstream/scripted_worker.hpp"
#include "upstream/worker_connection.hpp"

#include <catch2/catch.hpp>

#include <string>

using namespace pollenward;
using namespace pollenward::upstream;
using namespace pollenward::upstream::testing;

namespace {

/// The worker sends these bytes and closes its side without a reset.
exchange_result exchange_with_worker_that_sends(const std::string& bytes)
{
    asio::io_context context;
    scripted_worker server(
        context, [&](tcp::socket& socket, int) -> asio::awaitable<void> {
            co_await read_header(socket);
            co_await send_text(socket, bytes);
            boost::system::error_code ignored;
            socket.shutdown(tcp::socket::shutdown_send, ignored);
            co_await read_header(socket);
        });
    const auto run = [&]() -> asio::awaitable<exchange_result> {
        worker_connection connection(co_await asio::this_coro::executor,
            server.get_worker().get_address());
        const auto request = make_request("id-1", false);
        core::error reason;
        co_await connection.connect(request.get_deadline(), reason);
        auto result = co_await connection.exchange<adapter::worker_codec>(
            request, core::worker_id("w-1"));
        CHECK((result.get_response() || !connection.is_reusable()));
        co_return result;
    };
    return run_to_end(context, run());
}

const std::string common_head = "HTTP/1.1 200 OK\r\nRequest-Id: id-1\r\n"
                                "Server-Signature: 3e1b.07.5a2\r\n";

} // namespace

// Guards against an answer whose worker stopped in the middle of its head and
// closed: the caller would get a success with an empty body.
TEST_CASE("an answer that ends in its head is no answer", "[adapter]")
{
    const std::string head = common_head
        + GENERATE(std::string("\r\n"),
            std::string("Content-Length: 4\r\n\r\n"),
            std::string("Transfer-Encoding: chunked\r\n\r\n"),
            std::string("Connection: close\r\n\r\n"));
    for (std::size_t size = 0; size < head.size(); ++size)
    {
        const auto result
            = exchange_with_worker_that_sends(head.substr(0, size));
        INFO(head.substr(0, size));
        CHECK_FALSE(result.get_response());
        CHECK(result.get_result() == attempt_result::broken_after_send);
    }
}

// Guards against an answer with a part of its body that is framed as whole.
TEST_CASE("an answer that ends in its body is no answer", "[adapter]")
{
    const std::string whole
        = GENERATE(common_head + "Content-Length: 4\r\n\r\nbody",
            common_head
                + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n");
    const std::size_t head_size = whole.find("\r\n\r\n") + 4;
    for (std::size_t size = head_size; size < whole.size(); ++size)
    {
        const auto result
            = exchange_with_worker_that_sends(whole.substr(0, size));
        INFO(whole.substr(0, size));
        CHECK_FALSE(result.get_response());
        CHECK(result.get_result() == attempt_result::broken_after_send);
    }
    const auto result = exchange_with_worker_that_sends(whole);
    REQUIRE(result.get_response());
    CHECK(result.get_response()->get_body() == "body");
}
