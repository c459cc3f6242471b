#include "hostile/http_exchange.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <utility>

namespace pollenward::hostile {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using namespace asio::experimental::awaitable_operators;

namespace {

    constexpr auto as_result = asio::as_tuple(asio::use_awaitable);
    using outcome = std::optional<soak::http_response>;

    asio::awaitable<outcome> exchange_all(
        asio::ip::tcp::endpoint server, const soak::http_request& request)
    {
        asio::ip::tcp::socket socket(co_await asio::this_coro::executor);
        const auto [unconnected]
            = co_await socket.async_connect(server, as_result);
        if (unconnected)
        {
            co_return std::nullopt;
        }
        // A refusal may come before the request is written.
        co_await http::async_write(socket, request, as_result);
        boost::beast::flat_buffer buffer;
        soak::http_response answer;
        const auto [unread, count]
            = co_await http::async_read(socket, buffer, answer, as_result);
        co_return unread ? std::nullopt : outcome(std::move(answer));
    }

} // namespace

asio::awaitable<outcome> exchange(asio::ip::tcp::endpoint server,
    const soak::http_request& request, soak::seconds limit)
{
    const auto first
        = co_await (exchange_all(server, request) || soak::sleep_for(limit));
    co_return first.index() == 0 ? std::get<0>(first) : std::nullopt;
}

} // namespace pollenward::hostile
