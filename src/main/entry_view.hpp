#pragma once

#include "main/configuration_in_force.hpp"
#include "main/zone_link.hpp"
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

/// What an entry daemon shows to operators and to the load balancer; an
/// operators::admin_backend. Operators change the configuration in the store
/// and not through a daemon.
class entry_view {
public:
    entry_view(const configuration_in_force& configuration,
        const upstream::placement_state& board, const zone_link& zone,
        operators::metrics& metrics)
        : configuration(configuration)
        , board(board)
        , zone(zone)
        , shown(metrics)
    {
    }

    operators::fleet_status status();
    operators::metrics_snapshot metrics();
    std::optional<operators::configuration> configuration_in_force();

    /// True once there is a configuration and a worker, until the drain.
    bool is_ready();

    boost::asio::awaitable<operators::patch_reply> apply(
        operators::patch wanted);

    void begin_drain() { this->draining = true; }
    bool is_draining() const { return this->draining.load(); }

private:
    const main::configuration_in_force& configuration;
    const upstream::placement_state& board;
    const zone_link& zone;
    operators::metrics& shown;
    std::atomic<bool> draining{ false };
};

} // namespace pollenward::main
