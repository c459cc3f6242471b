#pragma once

#include "main/configuration_in_force.hpp"
#include "main/document_board.hpp"
#include "main/document_intake.hpp"
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

/// The parts of the daemon that the admin server shows.
struct admin_parts {
    configuration_in_force& configuration;
    platform::object_client& store;
    document_intake& intake;
    platform_sync& sync;
    fleet_network& fleet;
    claim_service& claims;
    replicated_guard& guard;
    worker_dispatcher& dispatcher;
    const worker_standings& standings;
    operators::metrics& metrics;
    /// Requests of callers that are not answered yet.
    std::function<std::size_t()> count_in_flight;
};

/// What operators see and change; an operators::admin_backend.
class admin_view {
public:
    explicit admin_view(admin_parts parts);

    operators::fleet_status status();
    operators::metrics_snapshot metrics();
    std::optional<operators::configuration> configuration_in_force();
    bool is_ready();
    boost::asio::awaitable<operators::patch_reply> apply(
        operators::patch wanted);

    /// The balancer's check fails from now on.
    void begin_drain() { this->draining = true; }

private:
    core::version_number highest_in_force() const;
    void show_fleet();
    void show_traffic(
        const std::string& direction, const fleet::traffic_counts& counts);
    void show_claims();
    void show_workers();
    void show_platform();

    admin_parts parts;
    operators::patch_service<platform::object_client> patches;
    const core::time_point started_at = core::runtime_clock::now();
    std::atomic<bool> draining{ false };
};

} // namespace pollenward::main
