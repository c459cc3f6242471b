#pragma once

#include "core/runtime_timer.hpp"

#include <boost/asio/ip/tcp.hpp>

#include <algorithm>
#include <memory>
#include <utility>

namespace pollenward::upstream {

/// Cancels the operations of a socket at a time that can be moved while they
/// run. Both must be used on the same strand.
class io_watchdog {
public:
    io_watchdog(boost::asio::ip::tcp::socket& socket,
        const boost::asio::any_io_executor& executor)
        : timer(executor)
        , shared(std::make_shared<state>(state{ &socket, {}, false }))
    {
    }

    io_watchdog(const io_watchdog&) = delete;
    io_watchdog& operator=(const io_watchdog&) = delete;

    ~io_watchdog() { this->shared->socket = nullptr; }

    void set_expiry(core::time_point expiry)
    {
        this->shared->expiry = expiry;
        this->timer.expires_at(expiry);
        this->timer.async_wait(
            [watched = this->shared](const boost::system::error_code&) {
                // Also runs when set_expiry() cancels an earlier wait.
                if (watched->socket != nullptr
                    && core::runtime_clock::now() >= watched->expiry)
                {
                    watched->has_expired = true;
                    boost::system::error_code ignored;
                    watched->socket->cancel(ignored);
                }
            });
    }

    bool has_expired() const { return this->shared->has_expired; }

private:
    struct state {
        boost::asio::ip::tcp::socket* socket;
        core::time_point expiry;
        bool has_expired;
    };

    core::runtime_timer timer;
    std::shared_ptr<state> shared;
};

} // namespace pollenward::upstream
