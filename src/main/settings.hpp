#pragma once

#include "caller/body_memory.hpp"
#include "core/endpoint.hpp"
#include "core/error.hpp"
#include "core/ids.hpp"
#include "core/memory_budget.hpp"
#include "core/runtime_clock.hpp"
#include "upstream/retry_allowance.hpp"
#include "upstream/worker_placement.hpp"
#include "upstream/worker_registry.hpp"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string_view>
#include <vector>

namespace pollenward::main {

/// The daemon's settings, read from a TOML file before anything starts.
class settings {
public:
    /// Reads the text of a settings file. Reports every fault found, each with
    /// "file:line" as its peer; unknown keys are faults.
    static std::optional<settings> create(std::string_view text,
        std::string_view file, std::vector<core::error>& reasons);

    const core::daemon_id& get_id() const { return this->id; }
    const core::zone_id& get_zone() const { return this->zone; }
    const core::region_id& get_region() const { return this->region; }

    /// Threads that run requests and control work.
    int get_threads() const { return this->threads; }

    /// Relative capacity of this host, which decides which daemons of a zone
    /// read and merge for the others.
    std::uint64_t get_capacity() const { return this->capacity; }

    /// The same settings with what the process may use, in MB; 0 for the memory
    /// of the host.
    settings with_memory(std::uint64_t megabytes) const
    {
        settings next = *this;
        next.memory = megabytes;
        return next;
    }

    /// Bounds the bodies of requests in memory: shares of the memory that the
    /// host grants.
    caller::body_memory make_body_memory() const;
    /// The part for large bodies.
    core::memory_budget make_body_budget() const;

    /// Bounds the bodies of responses in memory.
    core::memory_budget make_response_budget() const;

    /// Connections of callers that are served. With those whose requests are
    /// refused, they fit into a share of the memory and of the descriptors.
    std::size_t get_max_connections() const;

    /// Time between failing the balancer's check and closing the listener.
    core::milliseconds get_drain_delay() const { return this->drain_delay; }

    /// Longest time that a shutdown waits for requests in flight after the
    /// drain delay.
    core::milliseconds get_drain_limit() const { return this->drain_limit; }

    const core::endpoint& get_caller_endpoint() const
    {
        return this->caller_endpoint;
    }

    const core::endpoint& get_operator_endpoint() const
    {
        return this->operator_endpoint;
    }

    const core::endpoint& get_fleet_endpoint() const
    {
        return this->fleet_endpoint;
    }

    /// Fleet endpoint that the other daemons use: the one that is bound, unless
    /// this host is reached by another address.
    const core::endpoint& get_advertised_endpoint() const
    {
        return this->advertised_endpoint;
    }

    const core::endpoint& get_platform_endpoint() const
    {
        return this->platform_endpoint;
    }

    /// Time after which the platform removes the entry of a silent worker.
    core::milliseconds get_worker_lease() const { return this->worker_lease; }

    /// The same settings for workers that renew their entries so often.
    settings with_worker_heartbeat(core::milliseconds interval) const
    {
        settings next = *this;
        next.worker_lease
            = interval * upstream::worker_registry::renewals_per_lease;
        return next;
    }

    /// Fleet endpoints to contact while the platform's host list is
    /// unavailable.
    const std::vector<core::endpoint>& get_seeds() const { return this->seeds; }

    /// The zones of the deployment and their regions; empty if not given.
    const std::map<core::zone_id, core::region_id>& get_zones() const
    {
        return this->zones;
    }

    /// Limits the sends beyond the first of each request that all daemons
    /// together make to a service.
    const upstream::retry_limits& get_retry_limits() const
    {
        return this->retries;
    }

    /// Costs of a request to a worker in another zone or region, as shares of
    /// the value of the request.
    const upstream::placement_costs& get_placement_costs() const
    {
        return this->placement;
    }

    auto operator<=>(const settings& other) const = default;

private:
    /// A share of the memory that the host grants, in bytes; nothing if that is
    /// not known.
    std::optional<std::size_t> get_memory_share(double share) const;
    core::memory_budget make_budget(double share) const;

    core::daemon_id id;
    core::zone_id zone;
    core::region_id region;
    int threads = 0;
    std::uint64_t capacity = 0;
    /// In MB; 0 for the memory of the host.
    std::uint64_t memory = 0;
    core::milliseconds drain_delay{};
    core::milliseconds drain_limit{};
    core::endpoint caller_endpoint;
    core::endpoint operator_endpoint;
    core::endpoint fleet_endpoint;
    core::endpoint advertised_endpoint;
    core::endpoint platform_endpoint;
    core::milliseconds worker_lease{};
    std::vector<core::endpoint> seeds;
    std::map<core::zone_id, core::region_id> zones;
    upstream::retry_limits retries;
    upstream::placement_costs placement;
};

} // namespace pollenward::main
