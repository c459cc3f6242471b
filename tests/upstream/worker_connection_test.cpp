#include "upstream/worker_connection.hpp"

#include "scripted_worker.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/bind_cancellation_slot.hpp>
#include <boost/asio/cancellation_signal.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include <utility>
#include <vector>

using namespace pollenward;
using namespace pollenward::upstream;
using namespace pollenward::upstream::testing;

namespace {

asio::awaitable<exchange_result> exchange_once(
    worker target, forward_request request, bool& is_reusable)
{
    worker_connection connection(
        co_await asio::this_coro::executor, target.get_address());
    core::error reason;
    if (!co_await connection.connect(request.get_deadline(), reason))
    {
        co_return exchange_result::failed(attempt_result::not_sent, reason);
    }
    auto result = co_await connection.exchange(request);
    is_reusable = connection.is_reusable();
    co_return result;
}

/// The result of one exchange with a worker that sends `text` as its response,
/// or closes the connection if it is empty.
exchange_result exchange_with(const std::string& text, bool& is_reusable)
{
    asio::io_context context;
    scripted_worker server(
        context, [&](tcp::socket& socket, int) -> asio::awaitable<void> {
            co_await read_header(socket);
            co_await send_text(socket, text);
        });
    return run_to_end(context,
        exchange_once(
            server.get_worker(), make_request("a", false), is_reusable));
}

} // namespace

// Guards against passing the answer to another request to a caller, and against
// the reuse of a connection that carries bytes of no known request.
TEST_CASE(
    "a crossed or ambiguous response ends the connection's use", "[upstream]")
{
    bool is_reusable = true;
    const auto crossed = exchange_with(answer_text("b"), is_reusable);
    CHECK(crossed.get_result() == attempt_result::broken_after_send);
    CHECK_FALSE(crossed.get_response());
    CHECK_FALSE(is_reusable);

    is_reusable = true;
    const auto doubled
        = exchange_with(answer_text("a") + answer_text("b"), is_reusable);
    REQUIRE(doubled.get_response());
    CHECK(doubled.get_response()->get_body() == "a");
    CHECK_FALSE(is_reusable);

    const auto endless
        = exchange_with("HTTP/1.1 200 OK\r\n\r\nhalf", is_reusable);
    CHECK(endless.get_result() == attempt_result::broken_after_send);
    const auto interim
        = exchange_with("HTTP/1.1 100 Continue\r\n\r\n", is_reusable);
    CHECK(interim.get_result() == attempt_result::broken_after_send);
}

// Guards against a second run: a request counts as not run only if no byte of
// it was written or the worker refused it.
TEST_CASE("only an unsent or refused request is not run", "[upstream]")
{
    bool is_reusable = true;
    const auto result_of = [&](const std::string& text) {
        return exchange_with(text, is_reusable).get_result();
    };
    CHECK(result_of("") == attempt_result::broken_after_send);
    CHECK(result_of("HTTP/1.1 20") == attempt_result::broken_after_send);
    CHECK(result_of(refusal_text("shed")) == attempt_result::refused_shed);
    CHECK(result_of(refusal_text("draining"))
        == attempt_result::refused_draining);
    CHECK(result_of(refusal_text("other")) == attempt_result::answered);
    CHECK(result_of("HTTP/1.1 504 x\r\nWorker-State: expired\r\n"
                    "Content-Length: 0\r\n\r\n")
        == attempt_result::refused_expired);

    asio::io_context context;
    tcp::acceptor closed(context, { asio::ip::make_address("127.0.0.1"), 0 });
    core::error reason;
    const auto address = core::endpoint::create(
        "127.0.0.1:" + std::to_string(closed.local_endpoint().port()), reason);
    closed.close();
    const auto gone = worker::make({}, *address, {}, false);
    const auto refused = run_to_end(
        context, exchange_once(gone, make_request("a", false), is_reusable));
    CHECK(refused.get_result() == attempt_result::not_sent);
}

// Guards against a worker in trouble whose bytes never end: they would fill the
// memory until the deadline of the request.
TEST_CASE("an answer without an end is cut at a bound", "[upstream]")
{
    const std::string head = "HTTP/1.1 200 OK\r\nRequest-Id: a\r\n";
    const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
    const std::string piece(10'000, 'x');
    const std::vector<std::pair<std::string, std::string>> endless = {
        { "", piece },
        { "HTTP/1.1 200 OK\r\nField: ", piece },
        { head, "Field: " + std::string(100, 'x') + "\r\n" },
        { head + "\r\n", piece },
        { head + "Content-Length: 99999999999\r\n\r\n", piece },
        { chunked, "2710\r\n" + piece + "\r\n" },
        { chunked + "1;", piece },
        { chunked + "0\r\nField: ", piece },
        { chunked + "0\r\n", "Field: " + std::string(100, 'x') + "\r\n" },
        { "HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 100 Continue\r\n\r\n" },
    };
    // The longest whole response, and what the sockets hold.
    constexpr std::size_t max_sent = (16U << 20U) + (8U << 20U);
    for (const auto& [start, repeated] : endless)
    {
        asio::io_context context;
        std::size_t sent = 0;
        scripted_worker server(
            context, [&](tcp::socket& socket, int) -> asio::awaitable<void> {
                co_await read_header(socket);
                std::string text = start;
                for (boost::system::error_code failure; !failure;)
                {
                    const auto [ended, size]
                        = co_await asio::async_write(socket, asio::buffer(text),
                            asio::as_tuple(asio::use_awaitable));
                    failure = ended;
                    sent += size;
                    text = repeated;
                }
            });
        bool is_reusable = true;
        const auto result = run_to_end(context,
            exchange_once(
                server.get_worker(), make_request("a", false), is_reusable));
        CHECK(result.get_result() == attempt_result::broken_after_send);
        CHECK_FALSE(is_reusable);
        CHECK(sent < max_sent);
    }
}

// Guards against a daemon that runs out of memory because several workers send
// bodies without an end at the same time, each within the bound of one answer.
TEST_CASE("answers without an end share one bound", "[upstream]")
{
    constexpr int connections = 8;
    constexpr std::size_t budget = 20U << 20U;
    // What the sockets of one connection hold.
    constexpr std::size_t max_in_sockets = 8U << 20U;
    const auto bodies = core::memory_budget::make(budget);
    asio::io_context context;
    std::size_t sent = 0;
    scripted_worker server(
        context, [&](tcp::socket& socket, int) -> asio::awaitable<void> {
            co_await read_header(socket);
            std::string text = "HTTP/1.1 200 OK\r\nRequest-Id: a\r\n"
                               "Content-Length: 16000000\r\n\r\n";
            for (boost::system::error_code failure; !failure;)
            {
                const auto [ended, size] = co_await asio::async_write(socket,
                    asio::buffer(text), asio::as_tuple(asio::use_awaitable));
                failure = ended;
                sent += size;
                text.assign(100'000, 'x');
            }
        });
    std::vector<exchange_result> results;
    const auto run = [&]() -> asio::awaitable<void> {
        worker_connection connection(co_await asio::this_coro::executor,
            server.get_worker().get_address(), bodies);
        const auto request = make_request("a", false);
        core::error reason;
        co_await connection.connect(request.get_deadline(), reason);
        auto result = co_await connection.exchange(request);
        CHECK(bodies.get_used() <= budget);
        results.push_back(std::move(result));
        if (results.size() == connections)
        {
            context.stop();
        }
    };
    for (int i = 0; i < connections; ++i)
    {
        asio::co_spawn(context, run(), asio::detached);
    }
    context.run();
    const auto lost = std::count_if(
        results.begin(), results.end(), [](const exchange_result& each) {
            return each.get_result() == attempt_result::broken_after_send;
        });
    CHECK(lost >= connections - 1);
    CHECK(sent < budget + connections * max_in_sockets);
    results.clear();
    CHECK(bodies.get_used() == 0);
}

// Guards against sending on a connection that already has an unread answer: it
// would be read as the answer to the next request.
TEST_CASE("a response before the request means not sent", "[upstream]")
{
    asio::io_context context;
    core::runtime_timer answered(context, core::time_point::max());
    scripted_worker server(
        context, [&](tcp::socket& socket, int) -> asio::awaitable<void> {
            co_await send_text(socket, answer_text("a"));
            answered.cancel();
            co_await read_header(socket);
        });
    const auto run = [&]() -> asio::awaitable<exchange_result> {
        worker_connection connection(co_await asio::this_coro::executor,
            server.get_worker().get_address());
        const auto request = make_request("a", false);
        core::error reason;
        co_await connection.connect(request.get_deadline(), reason);
        boost::system::error_code ignored;
        if (!connection.has_pending_input())
        {
            co_await answered.async_wait(
                asio::redirect_error(asio::use_awaitable, ignored));
        }
        co_return co_await connection.exchange(request);
    };
    CHECK(run_to_end(context, run()).get_result() == attempt_result::not_sent);
}

// Guards against work without a caller: when the caller cancels, the request is
// cancelled at the worker on a separate connection.
TEST_CASE("a cancelled request is cancelled at the worker", "[upstream]")
{
    asio::io_context context;
    asio::cancellation_signal caller;
    std::string cancelled_target;
    scripted_worker server(
        context, [&](tcp::socket& socket, int number) -> asio::awaitable<void> {
            const auto header = co_await read_header(socket);
            if (number == 1)
            {
                caller.emit(asio::cancellation_type::terminal);
                co_await read_header(socket);
                co_return;
            }
            cancelled_target = header.substr(0, header.find(" HTTP"));
            context.stop();
        });
    bool is_reusable = true;
    std::optional<exchange_result> result;
    asio::co_spawn(context,
        exchange_once(
            server.get_worker(), make_request("a/1", false), is_reusable),
        asio::bind_cancellation_slot(
            caller.slot(), [&](std::exception_ptr, exchange_result value) {
                result = std::move(value);
            }));
    context.run();
    REQUIRE(result);
    CHECK(result->get_result() == attempt_result::cancelled);
    CHECK_FALSE(is_reusable);
    CHECK(cancelled_target == "POST /cancel/a%2F1");
}
