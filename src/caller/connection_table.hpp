#pragma once

#include "caller/caller_connection.hpp"
#include "caller/connection_state.hpp"
#include "caller/eviction_decision.hpp"
#include "core/runtime_timer.hpp"
#include "core/sharded_map.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>

namespace pollenward::caller {

/// The open connections of callers, and which of them have a request in flight.
/// A request is in flight from its first byte to the last byte of its answer.
class connection_table {
public:
    using connection_pointer = std::shared_ptr<caller_connection>;

    explicit connection_table(boost::asio::io_context& context)
        : context(context)
    {
    }

    /// Adds a connection and returns its number.
    std::uint64_t add(connection_pointer connection);
    void remove(std::uint64_t number);

    void begin_request(std::uint64_t number);
    void begin_body(std::uint64_t number, bool is_small);
    void begin_run(std::uint64_t number);
    void end_request(std::uint64_t number);
    /// The connection is closed when the caller has closed its side.
    void begin_lingering(std::uint64_t number);

    std::size_t size() const { return this->connections.size(); }
    /// Connections whose requests are served: not those over the limit, nor
    /// those that end.
    std::size_t count_served() const;

    /// Closes connections other than `number`, `count` at most, to free the
    /// resource; requests that are being read on them are refused. Chooses
    /// among those that have been reading or idle for `min_time`. False if
    /// there are none, or if the last choice was made just now.
    bool evict(scarce_resource scarce, std::uint64_t number,
        core::duration min_time, std::size_t count);

    /// From now on each connection is closed after its next answer. Idle ones
    /// stay open, because their next request may already be in transit.
    void begin_closing() { this->closing = true; }
    bool is_closing() const { return this->closing.load(); }

    /// Closes idle connections, now and from now on.
    void begin_drain();
    bool is_draining() const { return this->draining.load(); }

    std::size_t in_flight() const;

    /// Waits until all connections are closed; false if a request is still in
    /// flight at `limit`. An open connection without one may have received a
    /// request that is not read yet, or be sending the end of its last answer:
    /// when a process ends, the kernel resets its connections that have unread
    /// bytes. Must be called after begin_drain().
    boost::asio::awaitable<bool> wait_until_idle(core::time_point limit);

    /// Closes all connections; returns how many had a request in flight.
    std::size_t close_all();

private:
    struct entry {
        connection_pointer connection;
        connection_phase phase = connection_phase::idle;
        core::time_point since;
    };

    using timer_pointer = std::shared_ptr<core::runtime_timer>;

    /// Without a time, the current one is kept.
    void set_phase(std::uint64_t number, connection_phase phase,
        std::optional<core::time_point> since);
    /// Closes a connection, unless it has changed since it was `seen`.
    bool begin_leaving(std::uint64_t number, const entry& seen);
    void notify_if_empty();
    boost::asio::awaitable<bool> wait_on_strand(core::time_point limit);

    boost::asio::io_context& context;
    core::sharded_map<std::uint64_t, entry> connections;
    core::sharded_map<std::uint64_t, timer_pointer> idle_waiters;
    std::atomic<std::uint64_t> last_number{ 0 };
    /// By resource, in the order of the enumeration.
    std::array<std::atomic<core::time_point>, scarce_resource_count>
        last_evictions{};
    std::atomic<bool> closing{ false };
    std::atomic<bool> draining{ false };
};

} // namespace pollenward::caller
