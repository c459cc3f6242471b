#pragma once

#include "core/endpoint.hpp"
#include "core/error.hpp"
#include "core/runtime_clock.hpp"
#include "core/sharded_map.hpp"
#include "fleet/fleet_transport.hpp"
#include "fleet/message_codec.hpp"
#include "fleet/traffic.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <atomic>
#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <mutex>
#include <optional>
#include <stop_token>
#include <thread>
#include <vector>

namespace pollenward::fleet {

class exchange_tracker;
class nng_peer_socket;
class nng_server;

inline constexpr core::milliseconds exchange_timeout{ 500 };
inline constexpr core::seconds idle_peer_time{ 60 };

/// Exchanges messages with daemons over nng's request and reply protocol on
/// TCP.
/// Destroy it, or call close(), before the executor's context is destroyed:
/// until then nng's callbacks post to that context.
class nng_transport {
public:
    /// Handlers of incoming messages run on the executor.
    explicit nng_transport(const boost::asio::any_io_executor& executor,
        core::milliseconds timeout = exchange_timeout);
    ~nng_transport();
    nng_transport(const nng_transport&) = delete;
    nng_transport& operator=(const nng_transport&) = delete;

    /// Binds the listener; port 0 selects a free port. False, with the reason,
    /// on failure. Call it before serve().
    bool listen(const core::endpoint& address, core::error& reason);

    /// The bound address.
    const core::endpoint& get_address() const;

    void serve(message_handler handler);

    /// Sends a message and returns the reply; nothing, with the reason, if
    /// none arrived within the timeout. The timeout uses the steady clock, not
    /// the pausable runtime clock. Cancellation has no effect.
    boost::asio::awaitable<std::optional<message>> exchange(
        core::endpoint peer, message content, core::error& reason);

    /// Closes the sockets of peers that were not used for `idle_peer_time`;
    /// returns their number. Blocks, so it runs on a thread of its own.
    std::size_t close_idle(core::time_point now);

    std::size_t count_peers() const { return this->peers.size(); }
    traffic_counts count_sent() const { return this->traffic->sent.read(); }
    traffic_counts count_received() const
    {
        return this->traffic->received.read();
    }
    /// Messages that were refused because they could not be decoded.
    std::uint64_t count_invalid() const
    {
        return this->traffic->invalid.load();
    }

    /// Refuses further exchanges, waits for those in flight, at most for the
    /// timeout, and aborts the requests that are being handled. Blocks.
    void close();

private:
    struct counters {
        traffic_counter sent;
        traffic_counter received;
        std::atomic<std::uint64_t> invalid{ 0 };
    };

    std::shared_ptr<nng_peer_socket> peer_of(const core::endpoint& address);
    /// Removes a socket whose connection no longer delivers replies, so that
    /// the next exchange opens a new one: nng keeps such a connection for as
    /// long as TCP does.
    void retire(
        const core::endpoint& address, std::shared_ptr<nng_peer_socket> peer);
    void close_retired(std::unique_lock<std::mutex>& lock);
    static boost::asio::awaitable<encoded_message> answer(
        std::shared_ptr<const message_handler> handler,
        std::shared_ptr<counters> traffic, encoded_message request);
    void close_idle_until(const std::stop_token& stop);

    core::milliseconds timeout;
    std::shared_ptr<counters> traffic;
    std::shared_ptr<exchange_tracker> tracker;
    core::sharded_map<core::endpoint, std::shared_ptr<nng_peer_socket>> peers;
    std::unique_ptr<nng_server> server;
    std::mutex idle_mutex;
    /// Peers to close once no exchange uses them; under `idle_mutex`.
    std::vector<std::shared_ptr<nng_peer_socket>> retired;
    bool has_new_retired = false;
    std::condition_variable_any idle_wait;
    std::jthread idle_thread;
};

} // namespace pollenward::fleet
