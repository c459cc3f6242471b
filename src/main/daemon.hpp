#pragma once

#include "caller/http_server.hpp"
#include "caller/request_pipeline.hpp"
#include "core/sharded_snapshot.hpp"
#include "main/admin_view.hpp"
#include "main/claim_client.hpp"
#include "main/configuration_in_force.hpp"
#include "main/dispatch_limits_updater.hpp"
#include "main/document_board.hpp"
#include "main/document_intake.hpp"
#include "main/evidence_aggregator.hpp"
#include "main/evidence_reporter.hpp"
#include "main/fleet_network.hpp"
#include "main/guarded_dispatcher.hpp"
#include "main/message_router.hpp"
#include "main/platform_sync.hpp"
#include "main/replicated_guard.hpp"
#include "main/roster_keeper.hpp"
#include "main/settings.hpp"
#include "main/worker_standings.hpp"
#include "operators/admin_server.hpp"
#include "operators/metrics.hpp"
#include "platform/object_client.hpp"
#include "upstream/probe_loop.hpp"
#include "upstream/worker_directory.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

namespace pollenward::main {

/// All parts of the daemon, connected.
class daemon {
public:
    daemon(boost::asio::io_context& context, settings chosen);

    /// Binds the listeners and starts the control loops. False, with the
    /// reason, if a listener cannot be bound.
    bool start(core::error& reason);

    /// Leaves the fleet without cutting a request: fails the balancer's check,
    /// stops accepting after the drain delay, and returns when all requests
    /// have ended or the drain limit is over; then cuts the rest.
    boost::asio::awaitable<void> drain();

    /// Cuts all requests in flight now.
    void cut();

    /// Takes over the times of the drain; other settings need a restart.
    void reload(const settings& next);

private:
    using flow = caller::request_pipeline<admission_gate, claim_service,
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
    settings chosen;
    /// What reload() may replace.
    core::sharded_snapshot<settings> in_force;
    core::incarnation_number incarnation;
    operators::metrics metrics;
    configuration_in_force configuration;
    upstream::worker_directory workers;
    worker_standings standings;
    platform::object_client store;
    fleet_network fleet;
    claim_client claims_link;
    claim_service claims;
    replicated_guard guard;
    evidence_aggregator homes;
    document_board board;
    worker_dispatcher dispatcher;
    guarded_dispatcher upstreams;
    service_limits limits;
    admission_gate gate;
    document_intake intake;
    platform_sync sync;
    roster_keeper keeper;
    evidence_reporter evidence;
    message_router router;
    dispatch_limits_updater terms;
    probed_workers probed;
    upstream::probe_loop<probed_workers> probes;
    flow requests;
    caller::http_server<configuration_in_force, flow> callers;
    admin_view view;
    operators::admin_server<admin_view> admin;
};

} // namespace pollenward::main
