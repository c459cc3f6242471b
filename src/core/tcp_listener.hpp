#pragma once

#include "core/endpoint.hpp"
#include "core/error.hpp"
#include "core/runtime_timer.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <concepts>
#include <cstdint>
#include <string>
#include <utility>

namespace pollenward::core {

/// Delay after a failed accept. The usual cause, no free file descriptor,
/// persists for a while, and the loop must not spin.
inline constexpr milliseconds accept_retry_delay{ 100 };

/// Listens on an endpoint and accepts connections, each on a strand of its
/// own.
class tcp_listener {
public:
    using tcp = boost::asio::ip::tcp;

    explicit tcp_listener(boost::asio::io_context& context);

    /// Binds the endpoint. False, with the reason, if it cannot be bound.
    bool listen(const endpoint& where, error& reason);

    /// Calls `on_accepted` with each connection until close(), and `on_failure`
    /// with the first failure of a series.
    template <std::invocable<tcp::socket> OnAccepted,
        std::invocable<const error&> OnFailure>
    boost::asio::awaitable<void> accept_all(
        OnAccepted on_accepted, OnFailure on_failure)
    {
        namespace asio = boost::asio;
        bool has_failed = false;
        while (this->acceptor.is_open())
        {
            auto [failure, socket] = co_await this->acceptor.async_accept(
                asio::make_strand(this->context),
                asio::as_tuple(asio::use_awaitable));
            if (!failure)
            {
                has_failed = false;
                on_accepted(std::move(socket));
                continue;
            }
            if (!this->acceptor.is_open())
            {
                co_return;
            }
            if (!std::exchange(has_failed, true))
            {
                on_failure(error::make(
                    "accept connection", this->local.str(), failure.message()));
            }
            co_await wait_until(runtime_clock::now() + accept_retry_delay);
        }
    }

    /// Stops accepting; open connections remain open.
    void close();

    auto get_executor() { return this->acceptor.get_executor(); }
    /// The port that listen() bound.
    std::uint16_t get_port() const { return this->port; }

private:
    boost::asio::io_context& context;
    tcp::acceptor acceptor;
    endpoint local;
    std::uint16_t port = 0;
};

} // namespace pollenward::core
