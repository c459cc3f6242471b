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

#include <atomic>
#include <concepts>
#include <cstdint>
#include <exception>
#include <optional>
#include <string>
#include <utility>

namespace pollenward::core {

/// Delay after a failed accept. The usual cause, no free file descriptor,
/// persists for a while, and the loop must not spin.
inline constexpr milliseconds accept_retry_delay{ 100 };
/// How often a listener checks whether it may accept again.
inline constexpr milliseconds room_check_interval{ 10 };

/// Listens on an endpoint and accepts connections, each on a strand of its
/// own.
class tcp_listener {
public:
    using tcp = boost::asio::ip::tcp;

    explicit tcp_listener(boost::asio::io_context& context);

    /// Binds the endpoint. False, with the reason, if it cannot be bound.
    bool listen(const endpoint& where, error& reason);

    /// Calls `on_accepted` with each connection until close(), also with those
    /// that wait to be accepted by then, and `on_failure` with the first
    /// failure of a series. Leaves connections in the kernel's queue while
    /// `has_room` returns false. Runs on the listener's executor.
    template <std::predicate HasRoom, std::invocable<tcp::socket> OnAccepted,
        std::invocable<const error&> OnFailure>
    boost::asio::awaitable<void> accept_all(
        HasRoom has_room, OnAccepted on_accepted, OnFailure on_failure)
    {
        namespace asio = boost::asio;
        bool has_failed = false;
        this->accepting = true;
        while (!this->closing)
        {
            if (!has_room())
            {
                co_await wait_until(runtime_clock::now() + room_check_interval);
                continue;
            }
            auto [failure, socket] = co_await this->acceptor.async_accept(
                asio::make_strand(this->context),
                asio::as_tuple(asio::use_awaitable));
            if (!failure)
            {
                has_failed = false;
                this->hand_over(std::move(socket), on_accepted, on_failure);
                continue;
            }
            if (this->closing)
            {
                break;
            }
            if (!std::exchange(has_failed, true))
            {
                on_failure(error::make(
                    "accept connection", this->local.str(), failure.message()));
            }
            co_await wait_until(runtime_clock::now() + accept_retry_delay);
        }
        while (true)
        {
            if (!has_room())
            {
                co_await wait_until(runtime_clock::now() + room_check_interval);
                continue;
            }
            auto waiting = this->accept_waiting();
            if (waiting.accepted)
            {
                this->hand_over(
                    std::move(*waiting.accepted), on_accepted, on_failure);
            }
            else if (is_passing(waiting.failure))
            {
                co_await wait_until(runtime_clock::now() + accept_retry_delay);
            }
            else
            {
                break;
            }
        }
        this->end_accepting();
    }

    /// Stops accepting; open connections remain open. The kernel would reset
    /// the connections that wait to be accepted, so accept_all() takes them
    /// first.
    void close();

    /// After close(): waits until accept_all() has ended, or until `limit`.
    boost::asio::awaitable<void> wait_until_closed(time_point limit);

    bool is_closing() const { return this->closing.load(); }

    auto get_executor() { return this->acceptor.get_executor(); }
    /// The port that listen() bound.
    std::uint16_t get_port() const { return this->port; }

private:
    struct accept_result {
        boost::system::error_code failure;
        std::optional<tcp::socket> accepted;
    };

    /// A connection that waits to be accepted; fails if there is none.
    accept_result accept_waiting();
    /// Whether accepting again may succeed although none was accepted.
    static bool is_passing(boost::system::error_code failure);

    /// An exception must not end the loop that accepts.
    template <class OnAccepted, class OnFailure>
    void hand_over(
        tcp::socket socket, OnAccepted& on_accepted, OnFailure& on_failure)
    {
        try
        {
            on_accepted(std::move(socket));
        }
        catch (const std::exception& failure)
        {
            on_failure(error::make(
                "serve connection", this->local.str(), failure.what()));
        }
    }

    void end_accepting();
    /// True, so that it can have a deadline.
    boost::asio::awaitable<bool> wait_for_end();

    boost::asio::io_context& context;
    tcp::acceptor acceptor;
    std::atomic<bool> closing{ false };
    /// Whether accept_all() runs; used on the listener's executor only.
    bool accepting = false;
    /// Cancelled when accept_all() ends.
    runtime_timer ended;
    endpoint local;
    std::uint16_t port = 0;
};

} // namespace pollenward::core
