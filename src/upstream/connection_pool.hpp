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

/// A pool of connections to workers. Idle ones are kept for `idle_limit`, and
/// the idle and leased connections to one worker together stay within
/// `max_connections`.
class connection_pool {
public:
    static constexpr core::seconds default_idle_limit{ 30 };

    /// `bodies` bounds the responses that are read at the same time.
    explicit connection_pool(boost::asio::any_io_executor executor,
        core::duration idle_limit = default_idle_limit,
        core::memory_budget bodies = core::memory_budget::unlimited());

    /// A connection to the worker: an idle one without pending input, or a new
    /// one that is not connected. Nothing if `max_connections` are open.
    std::optional<connection_lease> acquire(
        const worker& target, int max_connections, core::time_point now);

    /// A connection to the worker that is new and not connected. If
    /// `max_connections` are open, the one that was idle longest is closed;
    /// nothing if none is idle.
    std::optional<connection_lease> acquire_fresh(
        const worker& target, int max_connections);

    /// Closes the idle connections to a worker.
    void close_idle(const core::worker_id& worker_id);

    /// Closes the connections that were idle for too long.
    void close_expired(core::time_point now);

    /// Idle and leased connections to a worker.
    int count_open(const core::worker_id& worker_id) const;

private:
    friend class connection_lease;

    using connection_ptr = std::shared_ptr<worker_connection>;

    struct idle_connection {
        connection_ptr connection;
        core::time_point idle_since;
    };

    struct worker_entry {
        std::vector<idle_connection> idle;
        int open = 0;
    };

    std::vector<idle_connection> remove_idle(
        const core::worker_id& worker_id, core::time_point idle_before);
    void release(const core::worker_id& worker_id, connection_ptr used,
        core::time_point now);

    boost::asio::any_io_executor executor;
    core::duration idle_limit;
    core::memory_budget bodies;
    core::sharded_map<core::worker_id, worker_entry> entries;
};

/// Exclusive use of one connection of a pool, which must outlive it. At the end
/// the connection returns to the pool if it is reusable and is closed
/// otherwise.
class connection_lease {
public:
    connection_lease(connection_pool& pool, core::worker_id worker_id,
        std::shared_ptr<worker_connection> connection, bool is_reused);
    connection_lease(connection_lease&&) noexcept = default;
    connection_lease& operator=(connection_lease&&) = delete;
    connection_lease(const connection_lease&) = delete;
    connection_lease& operator=(const connection_lease&) = delete;
    ~connection_lease();

    worker_connection& get_connection() { return *this->connection; }
    /// Whether the connection carried an exchange before.
    bool is_reused() const { return this->reused; }

    /// Replaces the connection, which is closed, by a new one that is not
    /// connected.
    void replace();

private:
    connection_pool& pool;
    core::worker_id worker_id;
    std::shared_ptr<worker_connection> connection;
    bool reused = false;
};

} // namespace pollenward::upstream
