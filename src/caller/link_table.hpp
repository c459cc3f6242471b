#pragma once

#include "caller/caller_link.hpp"
#include "core/runtime_timer.hpp"
#include "core/sharded_map.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <memory>

namespace pollenward::caller {

/// The open connections of callers and how many of them have a request in
/// flight: from its first byte to the last byte of its answer.
class link_table {
public:
    using link_pointer = std::shared_ptr<caller_link>;

    explicit link_table(boost::asio::io_context& context)
        : context(context)
    {
    }

    /// Adds a connection and returns its number.
    std::uint64_t add(link_pointer link);
    void remove(std::uint64_t number);

    void begin_request(std::uint64_t number);
    void end_request(std::uint64_t number);

    /// From now on each connection is closed after its next answer, but idle
    /// ones stay open: their next request may be on its way.
    void begin_closing() { this->closing = true; }
    bool is_closing() const { return this->closing.load(); }

    /// Closes idle connections, now and from now on.
    void begin_drain();
    bool is_draining() const { return this->draining.load(); }

    std::size_t in_flight() const;

    /// Waits until no request is in flight; false if some are at `limit`. To
    /// be called after begin_drain().
    boost::asio::awaitable<bool> wait_until_idle(core::time_point limit);

    /// Closes all connections; returns how many had a request in flight.
    std::size_t cut();

private:
    struct entry {
        link_pointer link;
        bool is_busy = false;
    };

    using timer_pointer = std::shared_ptr<core::runtime_timer>;

    void set_busy(std::uint64_t number, bool is_busy);
    void wake_if_idle();
    boost::asio::awaitable<bool> sleep_until_idle(core::time_point limit);

    boost::asio::io_context& context;
    core::sharded_map<std::uint64_t, entry> links;
    core::sharded_map<std::uint64_t, timer_pointer> sleepers;
    std::atomic<std::uint64_t> last_number{ 0 };
    std::atomic<bool> closing{ false };
    std::atomic<bool> draining{ false };
};

} // namespace pollenward::caller
