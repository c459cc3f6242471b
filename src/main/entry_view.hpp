#pragma once

#include "main/configuration_in_force.hpp"
#include "main/configuration_replica.hpp"
#include "main/worker_replica.hpp"
#include "main/zone_synchronizer.hpp"
#include "operators/configuration.hpp"
#include "operators/fleet_status.hpp"
#include "operators/metrics.hpp"
#include "operators/patch.hpp"
#include "operators/patch_reply.hpp"
#include "upstream/placement_state.hpp"

#include <boost/asio/awaitable.hpp>

#include <atomic>
#include <optional>

namespace pollenward::main {

/// Status, metrics and readiness of an entry daemon for operators and for the
/// load balancer; an operators::admin_backend. The configuration is changed in
/// the store and not through a daemon, so apply() refuses every patch.
class entry_view {
public:
    entry_view(const configuration_in_force& configuration,
        const upstream::placement_state& placement,
        const zone_synchronizer& zone, operators::metrics& metrics,
        const configuration_replica& configurations,
        const worker_replica& workers)
        : configuration(configuration)
        , placement(placement)
        , zone(zone)
        , registry(metrics)
        , configurations(configurations)
        , workers(workers)
    {
    }

    operators::fleet_status status();
    operators::metrics_snapshot metrics();
    std::optional<operators::configuration> configuration_in_force();

    /// True from the first configuration and worker until the drain begins.
    bool is_ready();

    boost::asio::awaitable<operators::patch_reply> apply(
        operators::patch wanted);

    void begin_drain() { this->draining = true; }
    bool is_draining() const { return this->draining.load(); }

private:
    const main::configuration_in_force& configuration;
    const upstream::placement_state& placement;
    const zone_synchronizer& zone;
    operators::metrics& registry;
    const configuration_replica& configurations;
    const worker_replica& workers;
    std::atomic<bool> draining{ false };
};

} // namespace pollenward::main
