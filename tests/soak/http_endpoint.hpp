#pragma once

#include "soak/soak_time.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/address_v4.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace pollenward::soak {

using tcp = boost::asio::ip::tcp;
using http_request
    = boost::beast::http::request<boost::beast::http::string_body>;
using http_response
    = boost::beast::http::response<boost::beast::http::string_body>;

/// A loopback HTTP/1.1 server. All of it runs on one thread.
class http_endpoint {
public:
    /// Returns nothing to reset the connection without an answer. The socket
    /// shows whether the peer has closed.
    using handler
        = std::function<boost::asio::awaitable<std::optional<http_response>>(
            const http_request&, tcp::socket&)>;

    http_endpoint(boost::asio::io_context& context, handler handle);

    std::uint16_t get_port() const { return this->port; }
    std::string get_address() const;

    /// Closes the listener and resets all connections, as a crash does.
    void crash();
    /// Listens again on the same port.
    void restart();
    /// Resets a connection that was idle for longer than this when the next
    /// bytes arrive on it.
    void set_idle_limit(seconds limit) { this->idle_limit = limit; }
    /// Closes a connection that is idle for longer than this, in an orderly
    /// way. A connection that is idle already keeps its former limit.
    void set_idle_close(seconds limit) { this->idle_close = limit; }

private:
    using socket_pointer = std::shared_ptr<tcp::socket>;
    using acceptor_pointer = std::shared_ptr<tcp::acceptor>;

    boost::asio::awaitable<void> accept_all(acceptor_pointer accepting);
    boost::asio::awaitable<void> serve(socket_pointer socket);
    /// Returns when bytes or the end of the connection can be read; false if
    /// it was idle for too long before.
    boost::asio::awaitable<bool> wait_for_bytes(socket_pointer socket);

    boost::asio::io_context& context;
    handler handle;
    std::uint16_t port = 0;
    seconds idle_limit = seconds::max();
    seconds idle_close = seconds::max();
    acceptor_pointer acceptor;
    std::set<socket_pointer> connections;
};

/// Closes a socket so that its peer sees a reset.
void reset(tcp::socket& socket);

/// Whether the peer has closed or reset the connection.
bool has_peer_closed(tcp::socket& socket);

/// A loopback address of this process. Soaks that run at the same time, and the
/// ports that the kernel picks for connections, stay apart.
boost::asio::ip::address_v4 get_own_address();

/// A port of the own address that was not returned before.
std::uint16_t take_port();

} // namespace pollenward::soak
