#pragma once

#include "soak/http_endpoint.hpp"
#include "soak/soak_time.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <memory>

namespace pollenward::soak {

/// The link between the callers and one host: relays connections with a delay
/// and a bandwidth that they share, and passes on how each side ends.
class narrow_link {
public:
    narrow_link(boost::asio::io_context& context, std::uint16_t target,
        double bytes_per_second, seconds delay);

    std::uint16_t get_port() const { return this->port; }

private:
    using socket_pointer = std::shared_ptr<tcp::socket>;

    boost::asio::awaitable<void> accept_all();
    boost::asio::awaitable<void> serve(socket_pointer caller);
    /// Relays one direction; `free_at` is when the link is free in it.
    boost::asio::awaitable<void> relay(
        socket_pointer from, socket_pointer to, seconds& free_at);

    boost::asio::io_context& context;
    std::uint16_t target;
    double bytes_per_second;
    seconds delay;
    std::uint16_t port;
    tcp::acceptor acceptor;
    seconds free_inwards{};
    seconds free_outwards{};
};

} // namespace pollenward::soak
