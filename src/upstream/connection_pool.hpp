#pragma once

#include "core/ids.hpp"
#include "core/runtime_clock.hpp"
#include "core/sharded_map.hpp"
#include "upstream/worker.hpp"
#include "upstream/worker_connection.hpp"

#include <boost/asio/any_io_executor.hpp>

#include <cstddef>
#include <memory>
#include <optional>
#include <vector>

namespace pollenward::upstream {

class connection_lease;

/// Connections to workers. Idle ones are kept for `idle_limit`, and the idle
/// and leased connections to one worker together stay within its allowance.
class connection_pool {
public:
    static constexpr core::seconds default_idle_limit{ 30 };

    explicit connection_pool(boost::asio::any_io_executor executor,
        core::duration idle_limit = default_idle_limit);

    /// A connection to the worker: an idle one without pending input, or a new
    /// one that is not connected. Nothing if `allowance` connections are open.
    std::optional<connection_lease> acquire(
        const worker& who, int allowance, core::time_point now);

    /// A connection to the worker that is new and not connected. If `allowance`
    /// connections are open, the one that was idle longest gives up its place;
    /// nothing if none is idle.
    std::optional<connection_lease> acquire_fresh(
        const worker& who, int allowance);

    /// Closes the idle connections to a worker.
    void drop_idle(const core::worker_id& who);

    /// Closes the connections that were idle for too long.
    void close_expired(core::time_point now);

    /// Idle and leased connections to a worker.
    int count_open(const core::worker_id& who) const;

private:
    friend class connection_lease;

    using connection = std::shared_ptr<worker_connection>;

    struct idle_connection {
        connection held;
        core::time_point idle_since;
    };

    struct worker_entry {
        std::vector<idle_connection> idle;
        int open = 0;
    };

    std::vector<idle_connection> take_idle(
        const core::worker_id& who, core::time_point idle_before);
    void give_back(
        const core::worker_id& who, connection used, core::time_point now);

    boost::asio::any_io_executor executor;
    core::duration idle_limit;
    core::sharded_map<core::worker_id, worker_entry> entries;
};

/// The use of one connection of a pool, which must outlive it. The connection
/// goes back to the pool if it is reusable and is closed otherwise.
class connection_lease {
public:
    connection_lease(connection_pool& pool, core::worker_id who,
        std::shared_ptr<worker_connection> held, bool is_reused);
    connection_lease(connection_lease&&) noexcept = default;
    connection_lease& operator=(connection_lease&&) = delete;
    connection_lease(const connection_lease&) = delete;
    connection_lease& operator=(const connection_lease&) = delete;
    ~connection_lease();

    worker_connection& get_connection() { return *this->held; }
    /// Whether the connection carried an exchange before.
    bool is_reused() const { return this->reused; }

    /// Closes the connection and holds a new one that is not connected.
    void replace();

private:
    connection_pool& pool;
    core::worker_id who;
    std::shared_ptr<worker_connection> held;
    bool reused = false;
};

} // namespace pollenward::upstream
