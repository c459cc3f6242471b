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
#include <functional>
#include <memory>
#include <mutex>

namespace pollenward::fleet {

/// Copies bytes into a new nng message; null if memory is short.
nng_msg* make_nng_message(const encoded_message& bytes);

/// Takes over an nng message and returns its body.
encoded_message take_nng_message(nng_msg* received);

/// Counts exchanges in flight, so that shutdown can wait for their callbacks.
class flight_counter {
public:
    /// False once the counter is closed: the exchange must not start.
    bool enter();
    void leave();
    /// Refuses further exchanges and waits for those in flight.
    void close();

private:
    std::mutex mutex;
    std::condition_variable is_empty;
    std::size_t count = 0;
    bool closed = false;
};

/// A dialled socket to one peer. nng connects in the background, and again
/// after a failure.
class nng_peer {
public:
    explicit nng_peer(const core::endpoint& address);
    ~nng_peer();
    nng_peer(const nng_peer&) = delete;
    nng_peer& operator=(const nng_peer&) = delete;

    nng_socket get_socket() const { return this->socket; }
    void touch(core::time_point now) { this->last_used.store(now); }
    core::time_point get_last_used() const { return this->last_used.load(); }
    void note_reply() { ++this->replies; }
    std::uint64_t count_replies() const { return this->replies.load(); }

private:
    nng_socket socket = NNG_SOCKET_INITIALIZER;
    std::atomic<core::time_point> last_used;
    std::atomic<std::uint64_t> replies{ 0 };
};

/// Called once, on a thread of nng or of the caller: an nng error number and
/// the reply.
using nng_completion = std::function<void(int, encoded_message)>;

/// Sends a request and waits for the reply without blocking the caller.
/// `flights` has been entered.
void start_nng_exchange(std::shared_ptr<nng_peer> peer,
    const encoded_message& request, core::milliseconds timeout,
    std::shared_ptr<flight_counter> flights, nng_completion done);

} // namespace pollenward::fleet
