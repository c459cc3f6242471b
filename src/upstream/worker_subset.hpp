#pragma once

#include "core/ids.hpp"
#include "upstream/worker.hpp"

#include <compare>
#include <utility>
#include <vector>

namespace pollenward::upstream {

/// A live daemon that gets a subset of the workers.
class subset_daemon {
public:
    static subset_daemon make(core::daemon_id id, core::zone_id zone)
    {
        subset_daemon made;
        made.id = std::move(id);
        made.zone = std::move(zone);
        return made;
    }

    const core::daemon_id& get_id() const { return this->id; }
    const core::zone_id& get_zone() const { return this->zone; }

    auto operator<=>(const subset_daemon&) const = default;

private:
    core::daemon_id id;
    core::zone_id zone;
};

/// The workers of one service that one daemon uses.
class worker_subset {
public:
    static worker_subset make(
        std::vector<core::worker_id> workers, int connections)
    {
        worker_subset made;
        made.workers = std::move(workers);
        made.connections = connections;
        return made;
    }

    /// Sorted by id.
    const std::vector<core::worker_id>& get_workers() const
    {
        return this->workers;
    }

    /// Connections that the daemon may have open to each of the workers.
    int get_connections() const { return this->connections; }

    bool contains(const core::worker_id& worker) const;

    auto operator<=>(const worker_subset&) const = default;

private:
    std::vector<core::worker_id> workers;
    int connections = 0;
};

/// The subsets of all daemons, in the order of `daemons`. Deterministic, so
/// that all daemons compute the same from the same lists. Each worker is
/// assigned the daemons of its own zone and then those with the highest
/// rendezvous scores, up to 80 % of its connections. Daemons with few workers
/// share the connections that are reserved for them.
std::vector<worker_subset> assign_subsets(
    const std::vector<subset_daemon>& daemons,
    const std::vector<worker>& workers, int connections_per_worker);

/// The subset of the daemon `self`; empty if it is not among `daemons`.
worker_subset find_subset(const core::daemon_id& self,
    const std::vector<subset_daemon>& daemons,
    const std::vector<worker>& workers, int connections_per_worker);

} // namespace pollenward::upstream
