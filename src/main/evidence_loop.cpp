#include "main/evidence_loop.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <utility>
#include <variant>

namespace pollenward::main {

namespace asio = boost::asio;

namespace {

    /// Time from a failure to the report of it, at most.
    constexpr core::milliseconds turn_interval{ 100 };
    constexpr core::milliseconds report_interval{ 500 };
    /// Keeps control traffic within its limit where a daemon uses many
    /// services: one regular report in this time.
    constexpr core::milliseconds time_per_service{ 50 };
    /// Weight of the newest sample; averages demand over about a second.
    constexpr double demand_weight = 0.1;
    /// Demand below this is a remainder of the average.
    constexpr double negligible_demand = 0.01;

    /// True if `interval` has passed since `last`, or there was no last time.
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

evidence_loop::evidence_loop(asio::io_context& context,
    const configuration_in_force& configuration,
    const upstream::worker_directory& workers, worker_standings& standings,
    worker_dispatcher& dispatcher, admission_gate& gate, home_desk& homes,
    fleet_port& fleet)
    : strand(asio::make_strand(context))
    , configuration(configuration)
    , workers(workers)
    , standings(standings)
    , dispatcher(dispatcher)
    , gate(gate)
    , homes(homes)
    , fleet(fleet)
    , sequence(fleet.self().get_incarnation().get())
{
}

void evidence_loop::start()
{
    asio::co_spawn(this->strand, this->run(), asio::detached);
}

asio::awaitable<void> evidence_loop::run()
{
    while (!this->stopped)
    {
        const auto now = core::runtime_clock::now();
        this->turn(now);
        co_await core::wait_until(now + turn_interval);
    }
}

void evidence_loop::turn(core::time_point now)
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
        const bool is_urgent = this->standings.take_failure(id);
        if (!progress.is_waiting_for_home
            && (is_urgent || (is_in_use && is_due)))
        {
            this->report(id, std::move(entries[id]), now);
        }
        const auto home
            = fleet::select_aggregator(id, this->fleet.self().get_zone(), live);
        if (home == this->fleet.self().get_id())
        {
            this->act_as_home(service, live, now);
        }
    }
}

evidence_loop::entries_by_service evidence_loop::collect(core::time_point now)
{
    entries_by_service entries;
    for (const auto& seen : this->standings.get_evidence().collect(now))
    {
        entries[seen.get_service()].push_back(
            fleet::evidence_entry::make(seen.get_worker(), seen.get_counts()));
    }
    return entries;
}

void evidence_loop::average_demand(
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

void evidence_loop::report(const core::service_id& service,
    std::vector<fleet::evidence_entry> entries, core::time_point now)
{
    service_progress& progress = this->services[service];
    const auto self = this->fleet.self();
    const auto home = fleet::select_aggregator(
        service, self.get_zone(), this->fleet.live_daemons());
    progress.reported_at = now;
    auto made = fleet::evidence_report::make(fleet::report_level::daemon,
        self.get_id().str(), self.get_zone(), service, ++this->sequence,
        std::move(entries), progress.demand)
                    .with_draining(this->standings.own_drains(service, now));
    if (!home || *home == self.get_id())
    {
        this->take_reply(service, this->homes.on_report(made, now));
        this->pass_notice(service);
        return;
    }
    progress.is_waiting_for_home = true;
    asio::co_spawn(this->strand, this->send_report(*home, std::move(made)),
        asio::detached);
}

asio::awaitable<void> evidence_loop::send_report(
    core::daemon_id home, fleet::evidence_report report)
{
    const core::service_id service = report.get_service();
    core::error reason;
    const auto reply = co_await this->fleet.exchange(
        std::move(home), std::move(report), reason);
    this->services[service].is_waiting_for_home = false;
    if (const auto* taken
        = reply ? std::get_if<fleet::verdict_reply>(&*reply) : nullptr)
    {
        this->take_reply(service, *taken);
    }
}

void evidence_loop::take_reply(
    const core::service_id& service, const fleet::verdict_reply& reply)
{
    const auto now = core::runtime_clock::now();
    this->standings.store_verdicts(service, reply.get_verdicts(), now);
    for (const core::worker_id& worker : reply.get_draining())
    {
        this->standings.note_drain(worker, upstream::drain_source::peer, now);
    }
    if (reply.get_share() > 0)
    {
        this->dispatcher.get_state().store_share(service,
            upstream::fleet_share::make(
                core::slot_count(static_cast<std::int64_t>(reply.get_share())),
                reply.is_overloaded(), now + reply.get_share_validity()));
    }
}

void evidence_loop::act_as_home(const operators::service_settings& service,
    const std::vector<fleet::zone_daemon>& live, core::time_point now)
{
    const auto& id = service.get_id();
    service_progress& progress = this->services[id];
    this->homes.get_homes().store_view(id, this->view_of(service, live, now));
    const auto summary = this->homes.summary(id, now);
    this->pass_notice(id);
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
    for (const fleet::zone_daemon& home : fleet::select_aggregators(id, live))
    {
        if (home.get_daemon() != self)
        {
            asio::co_spawn(this->strand,
                this->send_summary(home.get_daemon(), summary), asio::detached);
        }
    }
}

asio::awaitable<void> evidence_loop::send_summary(
    core::daemon_id home, fleet::evidence_report summary)
{
    const core::service_id service = summary.get_service();
    core::error reason;
    const auto reply = co_await this->fleet.exchange(
        std::move(home), std::move(summary), reason);
    if (const auto* taken
        = reply ? std::get_if<fleet::verdict_reply>(&*reply) : nullptr)
    {
        this->homes.get_homes().on_reply(
            service, *taken, core::runtime_clock::now());
        this->pass_notice(service);
    }
}

void evidence_loop::pass_notice(const core::service_id& service)
{
    const auto now = core::runtime_clock::now();
    const auto notice
        = this->homes.get_homes().take_ejection_notice(service, now);
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
            this->fleet.tell(each.get_daemon(),
                fleet::verdict_notice::make(service, notice->get_verdicts()));
        }
    }
}

fleet::service_view evidence_loop::view_of(
    const operators::service_settings& service,
    const std::vector<fleet::zone_daemon>& live, core::time_point now) const
{
    fleet::minimum_rank_shares shares{};
    for (const core::rank rank : core::all_ranks)
    {
        shares[core::index_of(rank)] = service.get_minimum_share(rank);
    }
    auto draining = this->homes.draining(service.get_id(), now);
    const auto own = this->standings.draining(service.get_id(), now);
    draining.insert(draining.end(), own.begin(), own.end());
    return fleet::service_view::make(this->workers.find(service.get_id()),
        std::move(draining), service.get_floor(),
        service.get_slots_per_worker(), shares, live);
}

} // namespace pollenward::main
