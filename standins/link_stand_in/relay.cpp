#include "relay.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <array>
#include <utility>

namespace pollenward::link_stand_in {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;

namespace {

    constexpr auto token = asio::as_tuple(asio::use_awaitable);
    constexpr std::size_t buffer_size = 16384;

    void close(tcp::socket& socket)
    {
        boost::system::error_code ignored;
        socket.close(ignored);
    }

} // namespace

relay::relay(tcp::endpoint target)
    : target(std::move(target))
{
}

asio::awaitable<void> relay::accept_all(tcp::acceptor& acceptor)
{
    while (true)
    {
        auto [failure, socket] = co_await acceptor.async_accept(token);
        if (failure)
        {
            co_return;
        }
        asio::co_spawn(acceptor.get_executor(),
            this->connect(std::make_shared<tcp::socket>(std::move(socket))),
            asio::detached);
    }
}

asio::awaitable<void> relay::connect(socket_pointer from)
{
    const auto to = std::make_shared<tcp::socket>(from->get_executor());
    auto [failure] = co_await to->async_connect(this->target, token);
    if (failure)
    {
        close(*from);
        co_return;
    }
    boost::system::error_code ignored;
    from->set_option(tcp::no_delay(true), ignored);
    to->set_option(tcp::no_delay(true), ignored);
    asio::co_spawn(from->get_executor(),
        this->copy(to, from, &link_cuts::is_back_cut), asio::detached);
    co_await this->copy(from, to, &link_cuts::is_forward_cut);
}

asio::awaitable<void> relay::copy(
    socket_pointer from, socket_pointer to, cut_getter is_cut)
{
    std::array<char, buffer_size> buffer{};
    bool has_gap = false;
    while (true)
    {
        auto [read_failure, size]
            = co_await from->async_read_some(asio::buffer(buffer), token);
        if (read_failure)
        {
            break;
        }
        has_gap = has_gap || (this->cuts.*is_cut)();
        if (has_gap)
        {
            continue;
        }
        auto [write_failure, written] = co_await asio::async_write(
            *to, asio::buffer(buffer.data(), size), token);
        if (write_failure)
        {
            break;
        }
    }
    close(*from);
    close(*to);
}

asio::awaitable<void> relay::accept_control(tcp::acceptor& acceptor)
{
    while (true)
    {
        auto [failure, socket] = co_await acceptor.async_accept(token);
        if (failure)
        {
            co_return;
        }
        asio::co_spawn(acceptor.get_executor(),
            this->serve_control(std::move(socket)), asio::detached);
    }
}

asio::awaitable<void> relay::serve_control(tcp::socket socket)
{
    boost::beast::flat_buffer buffer;
    http::request<http::string_body> request;
    auto [read_failure, read]
        = co_await http::async_read(socket, buffer, request, token);
    if (read_failure)
    {
        co_return;
    }
    const bool is_control = request.method() == http::verb::post
        && request.target() == "/control";
    const auto next
        = is_control ? this->cuts.with_json(request.body()) : std::nullopt;
    this->cuts = next.value_or(this->cuts);
    http::response<http::empty_body> response(next ? http::status::ok
            : is_control                           ? http::status::bad_request
                                                   : http::status::not_found,
        request.version());
    response.keep_alive(false);
    response.prepare_payload();
    co_await http::async_write(socket, response, token);
}

} // namespace pollenward::link_stand_in
