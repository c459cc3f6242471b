#pragma once

#include "link_cuts.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <memory>

namespace pollenward::link_stand_in {

/// Forwards TCP connections to one endpoint. Bytes in a cut direction are
/// discarded. After a cut ends, a connection that lost bytes in a direction
/// carries none in it, since its stream has a gap; connections without loss
/// work again.
class relay {
public:
    explicit relay(boost::asio::ip::tcp::endpoint target);

    boost::asio::awaitable<void> accept_all(
        boost::asio::ip::tcp::acceptor& acceptor);

    /// Serves POST /control, whose body is a JSON object for `link_cuts`.
    boost::asio::awaitable<void> accept_control(
        boost::asio::ip::tcp::acceptor& acceptor);

private:
    using socket_pointer = std::shared_ptr<boost::asio::ip::tcp::socket>;
    using cut_getter = bool (link_cuts::*)() const;

    boost::asio::awaitable<void> connect(socket_pointer from);
    boost::asio::awaitable<void> copy(
        socket_pointer from, socket_pointer to, cut_getter is_cut);
    boost::asio::awaitable<void> serve_control(
        boost::asio::ip::tcp::socket socket);

    boost::asio::ip::tcp::endpoint target;
    link_cuts cuts;
};

} // namespace pollenward::link_stand_in
