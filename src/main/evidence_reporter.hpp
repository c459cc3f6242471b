#pragma once

#include "caller/admission_gate.hpp"
#include "core/ids.hpp"
#include "core/runtime_timer.hpp"
#include "fleet/evidence_report.hpp"
#include "fleet/verdict_reply.hpp"
#include "main/evidence_aggregator.hpp"
#include "main/fleet_network.hpp"
#include "main/guarded_dispatcher.hpp"
#include "main/worker_standings.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/strand.hpp>

#include <atomic>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace pollenward::main {

using admission_gate = caller::admission_gate<service_limits>;

/// Reports this daemon's evidence and demand to the aggregators of the services
/// that it uses and stores the verdicts and shares of their replies. Where this
/// daemon is an aggregator, exchanges summaries with those of other zones.
class evidence_reporter {
public:
    evidence_reporter(boost::asio::io_context& context,
        const configuration_in_force& configuration,
        const upstream::worker_directory& workers, worker_standings& standings,
        worker_dispatcher& dispatcher, admission_gate& gate,
        evidence_aggregator& aggregator, fleet_network& fleet);

    void start();
    void stop() { this->stopped = true; }

    /// As an aggregator: sends new ejections to the daemons of the zone without
    /// delay. Thread-safe.
    void send_ejection_notice(const core::service_id& service);

private:
    /// State of one service between two checks.
    struct service_progress {
        fleet::rank_demand demand{};
        std::optional<core::time_point> reported_at;
        std::optional<core::time_point> summarised_at;
        bool is_awaiting_reply = false;
        bool has_evidence = false;
    };

    using entries_by_service
        = std::map<core::service_id, std::vector<fleet::evidence_entry>>;

    boost::asio::awaitable<void> run();
    void check_services(core::time_point now);
    entries_by_service collect(core::time_point now);
    void average_demand(
        const core::service_id& service, service_progress& progress);
    void report(const core::service_id& service,
        std::vector<fleet::evidence_entry> entries, core::time_point now);
    boost::asio::awaitable<void> send_report(
        core::daemon_id aggregator, fleet::evidence_report report);
    void store_reply(
        const core::service_id& service, const fleet::verdict_reply& reply);
    boost::asio::awaitable<void> send_summary(
        core::daemon_id aggregator, fleet::evidence_report summary);
    void aggregate(const operators::service_settings& service,
        const std::vector<fleet::zone_daemon>& live, core::time_point now);
    fleet::service_view view_of(const operators::service_settings& service,
        const std::vector<fleet::zone_daemon>& live,
        core::time_point now) const;

    boost::asio::strand<boost::asio::io_context::executor_type> strand;
    const configuration_in_force& configuration;
    const upstream::worker_directory& workers;
    worker_standings& standings;
    worker_dispatcher& dispatcher;
    admission_gate& gate;
    evidence_aggregator& aggregator;
    fleet_network& fleet;
    std::map<core::service_id, service_progress> services;
    std::uint64_t sequence;
    std::atomic<bool> stopped{ false };
};

} // namespace pollenward::main
