#pragma once

// Only the nng transport includes this header.

#include "core/endpoint.hpp"
#include "core/runtime_clock.hpp"
#include "fleet/message_codec.hpp"

#include <nng/nng.h>

#include <atomic>
#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <stop_token>
#include <thread>

namespace pollenward::fleet {

/// Copies bytes into a new nng message; null if the allocation fails.
nng_msg* make_nng_message(const encoded_message& bytes);

/// Returns the body of an nng message and frees the message.
encoded_message take_nng_message(nng_msg* received);

/// Counts exchanges in flight, so that shutdown can wait for them, and releases
/// those that have ended on a thread of its own: nng's threads may still use
/// what an exchange refers to when its callback runs. Must be closed before it
/// is destroyed.
class exchange_tracker {
public:
    /// False once the tracker is closed: the exchange must not start.
    bool try_begin();
    /// Calls `release` on the tracker's thread; the exchange is in flight until
    /// then.
    void end(std::function<void()> release);
    /// Refuses further exchanges and waits for those in flight.
    void close();

private:
    void release_until(const std::stop_token& stop);

    std::mutex mutex;
    std::condition_variable none_in_flight;
    std::size_t count = 0;
    bool closed = false;
    std::condition_variable_any changed;
    std::deque<std::function<void()>> ended;
    /// Ends before the other members.
    std::jthread releasing{ [this](const std::stop_token& stop) {
        this->release_until(stop);
    } };
};

/// A dialled socket to one peer. nng connects in the background, and again
/// after a failure.
class nng_peer_socket {
public:
    explicit nng_peer_socket(const core::endpoint& address);
    ~nng_peer_socket();
    nng_peer_socket(const nng_peer_socket&) = delete;
    nng_peer_socket& operator=(const nng_peer_socket&) = delete;

    nng_socket get_socket() const { return this->socket; }
    void touch(core::time_point now) { this->last_used.store(now); }
    core::time_point get_last_used() const { return this->last_used.load(); }
    void record_reply() { ++this->replies; }
    std::uint64_t count_replies() const { return this->replies.load(); }

private:
    nng_socket socket = NNG_SOCKET_INITIALIZER;
    std::atomic<core::time_point> last_used;
    std::atomic<std::uint64_t> replies{ 0 };
};

/// Called once, on the thread of the tracker, with an nng error number
/// and the reply.
using nng_completion = std::function<void(int, encoded_message)>;

/// Sends a request and calls `done` with the reply. Does not block. The caller
/// must have called `tracker->try_begin()`.
void start_nng_exchange(std::shared_ptr<nng_peer_socket> peer,
    const encoded_message& request, core::milliseconds timeout,
    std::shared_ptr<exchange_tracker> tracker, nng_completion done);

} // namespace pollenward::fleet
