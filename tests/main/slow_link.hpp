#pragma once

#include "core/endpoint.hpp"
#include "core/error.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <memory>
#include <string>
#include <vector>

namespace pollenward::test {

/// Relays connections to a target on loopback at a limited bandwidth in each
/// direction.
class slow_link {
public:
    slow_link(boost::asio::io_context& context, core::endpoint target,
        std::size_t bytes_per_second)
        : acceptor(context, { boost::asio::ip::address_v4::loopback(), 0 })
        , target(boost::asio::ip::make_address(target.get_address()),
              target.get_port())
        , bytes_per_second(bytes_per_second)
    {
        boost::asio::co_spawn(
            context, this->accept_all(), boost::asio::detached);
    }

    core::endpoint get_endpoint() const
    {
        core::error reason;
        return *core::endpoint::create("127.0.0.1:"
                + std::to_string(this->acceptor.local_endpoint().port()),
            reason);
    }

private:
    using tcp = boost::asio::ip::tcp;
    using shared_socket = std::shared_ptr<tcp::socket>;
    static constexpr auto token
        = boost::asio::as_tuple(boost::asio::use_awaitable);

    boost::asio::awaitable<void> accept_all()
    {
        const auto executor = this->acceptor.get_executor();
        while (true)
        {
            auto [failure, accepted]
                = co_await this->acceptor.async_accept(token);
            if (failure)
            {
                co_return;
            }
            const auto near
                = std::make_shared<tcp::socket>(std::move(accepted));
            const auto far = std::make_shared<tcp::socket>(executor);
            const auto [refused]
                = co_await far->async_connect(this->target, token);
            if (!refused)
            {
                boost::asio::co_spawn(
                    executor, this->relay(near, far), boost::asio::detached);
                boost::asio::co_spawn(
                    executor, this->relay(far, near), boost::asio::detached);
            }
        }
    }

    boost::asio::awaitable<void> relay(shared_socket from, shared_socket to)
    {
        constexpr std::size_t packet_size = 1500;
        std::vector<char> packet(packet_size);
        boost::asio::steady_timer line(
            co_await boost::asio::this_coro::executor);
        auto free_at = std::chrono::steady_clock::now();
        while (true)
        {
            const auto [ended, size] = co_await from->async_read_some(
                boost::asio::buffer(packet), token);
            if (ended)
            {
                break;
            }
            // The line is busy with a packet for as long as its bytes take.
            free_at = std::max(free_at, std::chrono::steady_clock::now())
                + std::chrono::nanoseconds(
                    1'000'000'000 * size / this->bytes_per_second);
            line.expires_at(free_at);
            const auto [interrupted] = co_await line.async_wait(token);
            const auto [broken, written] = co_await boost::asio::async_write(
                *to, boost::asio::buffer(packet.data(), size), token);
            if (interrupted || broken)
            {
                break;
            }
        }
        boost::system::error_code ignored;
        to->shutdown(tcp::socket::shutdown_send, ignored);
    }

    tcp::acceptor acceptor;
    tcp::endpoint target;
    std::size_t bytes_per_second;
};

} // namespace pollenward::test
