#include "soak/http_endpoint.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <utility>

namespace pollenward::soak {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using namespace asio::experimental::awaitable_operators;

namespace {

    constexpr auto as_result = asio::as_tuple(asio::use_awaitable);

} // namespace

void reset(tcp::socket& socket)
{
    boost::system::error_code ignored;
    socket.set_option(asio::socket_base::linger(true, 0), ignored);
    socket.close(ignored);
}

bool has_peer_closed(tcp::socket& socket)
{
    char byte = 0;
    const auto count
        = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

asio::ip::address_v4 get_own_address()
{
    constexpr unsigned loopback_net = 127U << 24U;
    constexpr unsigned first_host = 256;
    constexpr unsigned hosts = 1U << 22U;
    const auto process = static_cast<unsigned>(::getpid());
    return asio::ip::address_v4(loopback_net + first_host + process % hosts);
}

std::uint16_t take_port()
{
    static std::uint16_t last = 10000;
    return ++last;
}

http_endpoint::http_endpoint(asio::io_context& context, handler handle)
    : context(context)
    , handle(std::move(handle))
    , port(take_port())
{
    this->restart();
}

std::string http_endpoint::get_address() const
{
    return get_own_address().to_string() + ":" + std::to_string(this->port);
}

void http_endpoint::crash()
{
    boost::system::error_code ignored;
    this->acceptor->close(ignored);
    for (const socket_pointer& each : this->connections)
    {
        reset(*each);
    }
}

void http_endpoint::restart()
{
    this->acceptor = std::make_shared<tcp::acceptor>(
        this->context, tcp::endpoint(get_own_address(), this->port));
    asio::co_spawn(
        this->context, this->accept_all(this->acceptor), asio::detached);
}

asio::awaitable<void> http_endpoint::accept_all(acceptor_pointer accepting)
{
    while (true)
    {
        auto [failure, socket] = co_await accepting->async_accept(as_result);
        if (failure)
        {
            co_return;
        }
        const auto connection
            = std::make_shared<tcp::socket>(std::move(socket));
        this->connections.insert(connection);
        asio::co_spawn(this->context, this->serve(connection), asio::detached);
    }
}

asio::awaitable<bool> http_endpoint::wait_for_bytes(socket_pointer socket)
{
    if (this->idle_close == seconds::max())
    {
        co_await socket->async_wait(tcp::socket::wait_read, as_result);
        co_return true;
    }
    const auto waited
        = co_await (socket->async_wait(tcp::socket::wait_read, as_result)
            || sleep_for(this->idle_close));
    co_return waited.index() == 0;
}

asio::awaitable<void> http_endpoint::serve(socket_pointer socket)
{
    boost::system::error_code failure;
    socket->set_option(tcp::no_delay(true), failure);
    boost::beast::flat_buffer buffer;
    while (true)
    {
        const seconds idle_since = now();
        if (buffer.size() == 0)
        {
            const bool is_in_time = co_await this->wait_for_bytes(socket);
            if (!is_in_time)
            {
                socket->close(failure);
                break;
            }
        }
        if (now() - idle_since > this->idle_limit)
        {
            reset(*socket);
            break;
        }
        http::request_parser<http::string_body> parser;
        // The default limit of a request is 1 MB.
        parser.body_limit(boost::none);
        const auto [unread, count]
            = co_await http::async_read(*socket, buffer, parser, as_result);
        if (unread)
        {
            break;
        }
        const http_request received = parser.release();
        auto answer = co_await this->handle(received, *socket);
        if (!answer)
        {
            reset(*socket);
            break;
        }
        answer->version(11);
        answer->keep_alive(received.keep_alive());
        answer->prepare_payload();
        const auto [unwritten, written]
            = co_await http::async_write(*socket, *answer, as_result);
        if (unwritten || !received.keep_alive())
        {
            break;
        }
    }
    this->connections.erase(socket);
}

} // namespace pollenward::soak
