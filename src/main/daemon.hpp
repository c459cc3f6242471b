#pragma once

#include "caller/http_server.hpp"
#include "caller/request_pipeline.hpp"
#include "core/sharded_snapshot.hpp"
#include "main/admin_view.hpp"
#include "main/claim_client.hpp"
#include "main/configuration_in_force.hpp"
#include "main/dispatch_limits_updater.hpp"
#include "main/document_applier.hpp"
#include "main/document_publisher.hpp"
#include "main/evidence_aggregator.hpp"
#include "main/evidence_reporter.hpp"
#include "main/fleet_network.hpp"
#include "main/guarded_dispatcher.hpp"
#include "main/message_router.hpp"
#include "main/platform_sync.hpp"
#include "main/replicated_guard.hpp"
#include "main/roster_updater.hpp"
#include "main/settings.hpp"
#include "main/stop_time.hpp"
#include "main/worker_standings.hpp"
#include "operators/admin_server.hpp"
#include "operators/metrics.hpp"
#include "platform/object_client.hpp"
#include "upstream/probe_loop.hpp"
#include "upstream/worker_directory.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

namespace pollenward::main {

/// Owns and connects all components of the daemon.
class daemon {
public:
    daemon(boost::asio::io_context& context, settings startup_settings);

    /// Binds the listeners and starts the control loops. False, with the
    /// reason, if a listener cannot be bound.
    bool start(core::error& reason);

    /// Shuts down gracefully: fails the load balancer's check, stops accepting
    /// after the drain delay, waits until all requests have ended or the drain
    /// limit, which counts from the signal, is over, aborts the remaining
    /// requests, and leaves the fleet.
    boost::asio::awaitable<void> drain(core::time_point signalled);

    /// Aborts all requests in flight.
    void cut();

    /// Applies new drain times; other settings need a restart.
    void reload(const settings& next);

private:
    using pipeline = caller::request_pipeline<admission_gate, claim_service,
        replicated_guard, guarded_dispatcher, operators::metrics>;

    /// The workers to probe; an upstream::probe_targets.
    struct probed_workers {
        const dispatch_limits_updater& terms;

        std::vector<upstream::worker> workers() const
        {
            return this->terms.used_workers();
        }
    };

    void stop_loops();

    boost::asio::io_context& context;
    settings startup_settings;
    /// Replaced by reload().
    core::sharded_snapshot<settings> current_settings;
    core::incarnation_number incarnation;
    operators::metrics metrics;
    configuration_in_force configuration;
    upstream::worker_directory workers;
    worker_standings standings;
    platform::object_client store;
    fleet_network fleet;
    claim_client peer_claims;
    claim_service claims;
    replicated_guard guard;
    evidence_aggregator aggregators;
    document_applier applier;
    core::memory_budget responses;
    worker_dispatcher dispatcher;
    guarded_dispatcher upstreams;
    service_limits limits;
    admission_gate gate;
    document_publisher publisher;
    platform_sync sync;
    roster_updater roster_updates;
    evidence_reporter evidence;
    message_router router;
    dispatch_limits_updater terms;
    probed_workers probed;
    upstream::probe_loop<probed_workers> probes;
    pipeline requests;
    caller::http_server<configuration_in_force, pipeline> callers;
    admin_view view;
    operators::admin_server<admin_view> admin;
};

} // namespace pollenward::main
