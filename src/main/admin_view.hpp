#pragma once

#include "main/configuration_in_force.hpp"
#include "main/document_applier.hpp"
#include "main/document_publisher.hpp"
#include "main/fleet_network.hpp"
#include "main/guarded_dispatcher.hpp"
#include "main/platform_sync.hpp"
#include "main/replicated_guard.hpp"
#include "operators/fleet_status.hpp"
#include "operators/metrics.hpp"
#include "operators/patch.hpp"
#include "operators/patch_reply.hpp"
#include "operators/patch_service.hpp"
#include "platform/object_client.hpp"

#include <boost/asio/awaitable.hpp>

#include <atomic>
#include <cstddef>
#include <functional>
#include <optional>

namespace pollenward::main {

/// The components of the daemon that admin_view reads and changes.
struct admin_parts {
    configuration_in_force& configuration;
    platform::object_client& store;
    document_publisher& publisher;
    platform_sync& sync;
    fleet_network& fleet;
    claim_service& claims;
    replicated_guard& guard;
    worker_dispatcher& dispatcher;
    const worker_standings& standings;
    operators::metrics& metrics;
    /// Counts the requests of callers that are not answered yet.
    std::function<std::size_t()> count_in_flight;
};

/// Provides status and metrics to operators and applies their patches; an
/// operators::admin_backend.
class admin_view {
public:
    explicit admin_view(admin_parts parts);

    operators::fleet_status status();
    operators::metrics_snapshot metrics();
    std::optional<operators::configuration> configuration_in_force();
    bool is_ready();
    boost::asio::awaitable<operators::patch_reply> apply(
        operators::patch wanted);

    /// Fails the load balancer's check from now on.
    void begin_drain() { this->draining = true; }

private:
    core::version_number highest_in_force() const;
    void update_fleet_metrics();
    void update_traffic_metrics(
        const std::string& direction, const fleet::traffic_counts& counts);
    void update_claim_metrics();
    void update_worker_metrics();
    void update_platform_metrics();

    admin_parts parts;
    operators::patch_service<platform::object_client> patches;
    const core::time_point started_at = core::runtime_clock::now();
    std::atomic<bool> draining{ false };
};

} // namespace pollenward::main
