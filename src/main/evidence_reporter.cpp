#include "main/evidence_reporter.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <utility>
#include <variant>

namespace pollenward::main {

namespace asio = boost::asio;

namespace {

    /// Upper bound for the time from a failure to its report.
    constexpr core::milliseconds report_check_interval{ 100 };
    constexpr core::milliseconds report_interval{ 500 };
    /// Minimum average time between regular reports; bounds the control traffic
    /// of a daemon that uses many services.
    constexpr core::milliseconds time_per_service{ 50 };
    /// Weight of the newest sample; averages demand over about a second.
    constexpr double demand_weight = 0.1;
    /// Demand below this is only left over from the moving average.
    constexpr double negligible_demand = 0.01;

    /// True if `interval` has passed since `last`, or `last` is empty.
    bool is_over(const std::optional<core::time_point>& last,
        core::duration interval, core::time_point now)
    {
        return !last || now - *last >= interval;
    }

    bool has_demand(const fleet::rank_demand& demand)
    {
        return std::any_of(demand.begin(), demand.end(),
            [](double value) { return value > negligible_demand; });
    }

} // namespace

evidence_reporter::evidence_reporter(asio::io_context& context,
    const configuration_in_force& configuration,
    const upstream::worker_directory& workers, worker_standings& standings,
    worker_dispatcher& dispatcher, admission_gate& gate,
    evidence_aggregator& aggregator, fleet_network& fleet)
    : strand(asio::make_strand(context))
    , configuration(configuration)
    , workers(workers)
    , standings(standings)
    , dispatcher(dispatcher)
    , gate(gate)
    , aggregator(aggregator)
    , fleet(fleet)
    , sequence(fleet.self().get_incarnation().get())
{
}

void evidence_reporter::start()
{
    asio::co_spawn(this->strand, this->run(), asio::detached);
}

asio::awaitable<void> evidence_reporter::run()
{
    while (!this->stopped)
    {
        const auto now = core::runtime_clock::now();
        this->check_services(now);
        co_await core::wait_until(now + report_check_interval);
    }
}

void evidence_reporter::check_services(core::time_point now)
{
    const auto all = this->configuration.get_services();
    const auto live = this->fleet.live_daemons();
    auto entries = this->collect(now);
    const core::duration regular = std::max<core::duration>(report_interval,
        time_per_service * static_cast<std::int64_t>(entries.size()));
    for (const auto& service : all)
    {
        const auto& id = service.get_id();
        service_progress& progress = this->services[id];
        this->average_demand(id, progress);
        progress.has_evidence = entries.count(id) != 0;
        const bool is_in_use
            = progress.has_evidence || has_demand(progress.demand);
        const bool is_due = is_over(progress.reported_at, regular, now);
        const bool is_urgent = this->standings.test_and_clear_failure(id);
        if (!progress.is_awaiting_reply && (is_urgent || (is_in_use && is_due)))
        {
            this->report(id, std::move(entries[id]), now);
        }
        const auto aggregator
            = fleet::select_aggregator(id, this->fleet.self().get_zone(), live);
        if (aggregator == this->fleet.self().get_id())
        {
            this->aggregate(service, live, now);
        }
    }
}

evidence_reporter::entries_by_service evidence_reporter::collect(
    core::time_point now)
{
    entries_by_service entries;
    for (const auto& seen : this->standings.get_evidence().collect(now))
    {
        entries[seen.get_service()].push_back(
            fleet::evidence_entry::make(seen.get_worker(), seen.get_counts()));
    }
    return entries;
}

void evidence_reporter::average_demand(
    const core::service_id& service, service_progress& progress)
{
    const auto present = this->gate.demand(service);
    for (std::size_t i = 0; i < core::rank_count; ++i)
    {
        progress.demand[i] += demand_weight * (present[i] - progress.demand[i]);
    }
    this->dispatcher.get_state().set_overloaded(
        service, this->gate.overloaded_ranks(service));
}

void evidence_reporter::report(const core::service_id& service,
    std::vector<fleet::evidence_entry> entries, core::time_point now)
{
    service_progress& progress = this->services[service];
    const auto self = this->fleet.self();
    const auto aggregator = fleet::select_aggregator(
        service, self.get_zone(), this->fleet.live_daemons());
    progress.reported_at = now;
    auto made = fleet::evidence_report::make(fleet::report_level::daemon,
        self.get_id().str(), self.get_zone(), service, ++this->sequence,
        std::move(entries), progress.demand)
                    .with_draining(this->standings.drains_reported_by_workers(
                        service, now));
    if (!aggregator || *aggregator == self.get_id())
    {
        this->store_reply(service, this->aggregator.on_report(made, now));
        this->send_ejection_notice(service);
        return;
    }
    progress.is_awaiting_reply = true;
    asio::co_spawn(this->strand,
        this->send_report(*aggregator, std::move(made)), asio::detached);
}

asio::awaitable<void> evidence_reporter::send_report(
    core::daemon_id aggregator, fleet::evidence_report report)
{
    const core::service_id service = report.get_service();
    core::error reason;
    const auto reply = co_await this->fleet.exchange(
        std::move(aggregator), std::move(report), reason);
    this->services[service].is_awaiting_reply = false;
    if (const auto* received
        = reply ? std::get_if<fleet::verdict_reply>(&*reply) : nullptr)
    {
        this->store_reply(service, *received);
    }
}

void evidence_reporter::store_reply(
    const core::service_id& service, const fleet::verdict_reply& reply)
{
    const auto now = core::runtime_clock::now();
    this->standings.store_verdicts(service, reply.get_verdicts(), now);
    for (const core::worker_id& worker : reply.get_draining())
    {
        this->standings.record_drain(worker, upstream::drain_source::peer, now);
    }
    if (reply.get_share() > 0)
    {
        this->dispatcher.get_state().store_share(service,
            upstream::fleet_share::make(
                core::slot_count(static_cast<std::int64_t>(reply.get_share())),
                reply.is_overloaded(), now + reply.get_share_validity()));
    }
}

void evidence_reporter::aggregate(const operators::service_settings& service,
    const std::vector<fleet::zone_daemon>& live, core::time_point now)
{
    const auto& id = service.get_id();
    service_progress& progress = this->services[id];
    this->aggregator.get_aggregator().store_view(
        id, this->view_of(service, live, now));
    const auto summary = this->aggregator.summary(id, now);
    this->send_ejection_notice(id);
    const bool is_in_use
        = !summary.get_entries().empty() || has_demand(summary.get_demand());
    const bool is_due = is_over(progress.summarised_at, report_interval, now);
    const bool has_failures = std::any_of(summary.get_entries().begin(),
        summary.get_entries().end(), [](const fleet::evidence_entry& entry) {
            return entry.get_counts().get_fast_failures() > negligible_demand;
        });
    if (!has_failures && !(is_in_use && is_due))
    {
        return;
    }
    progress.summarised_at = now;
    const auto self = this->fleet.self().get_id();
    for (const fleet::zone_daemon& aggregator :
        fleet::select_aggregators(id, live))
    {
        if (aggregator.get_daemon() != self)
        {
            asio::co_spawn(this->strand,
                this->send_summary(aggregator.get_daemon(), summary),
                asio::detached);
        }
    }
}

asio::awaitable<void> evidence_reporter::send_summary(
    core::daemon_id aggregator, fleet::evidence_report summary)
{
    const core::service_id service = summary.get_service();
    core::error reason;
    const auto reply = co_await this->fleet.exchange(
        std::move(aggregator), std::move(summary), reason);
    if (const auto* received
        = reply ? std::get_if<fleet::verdict_reply>(&*reply) : nullptr)
    {
        this->aggregator.get_aggregator().on_reply(
            service, *received, core::runtime_clock::now());
        this->send_ejection_notice(service);
    }
}

void evidence_reporter::send_ejection_notice(const core::service_id& service)
{
    const auto now = core::runtime_clock::now();
    const auto notice
        = this->aggregator.get_aggregator().take_ejection_notice(service, now);
    if (!notice)
    {
        return;
    }
    const auto self = this->fleet.self();
    this->standings.store_verdicts(service, notice->get_verdicts(), now);
    for (const fleet::zone_daemon& each : this->fleet.live_daemons())
    {
        if (each.get_zone() == self.get_zone()
            && each.get_daemon() != self.get_id())
        {
            this->fleet.send(each.get_daemon(),
                fleet::verdict_notice::make(service, notice->get_verdicts()));
        }
    }
}

fleet::service_view evidence_reporter::view_of(
    const operators::service_settings& service,
    const std::vector<fleet::zone_daemon>& live, core::time_point now) const
{
    fleet::minimum_rank_shares shares{};
    for (const core::rank rank : core::all_ranks)
    {
        shares[core::index_of(rank)] = service.get_minimum_share(rank);
    }
    auto draining = this->aggregator.draining(service.get_id(), now);
    const auto own = this->standings.draining(service.get_id(), now);
    draining.insert(draining.end(), own.begin(), own.end());
    return fleet::service_view::make(this->workers.find(service.get_id()),
        std::move(draining), service.get_floor(),
        service.get_slots_per_worker(), shares, live);
}

} // namespace pollenward::main
