#include "fleet_policy.hpp"

#include "upstream/worker_subset.hpp"

#include <string>

namespace pollenward::bench {

namespace {

    const core::service_id service("ballots");
    constexpr int connections_per_worker = 400;

    core::zone_id zone_name(int index)
    {
        return core::zone_id("zone-" + std::to_string(index % zone_count));
    }

    core::daemon_id daemon_name(int daemon)
    {
        return core::daemon_id("daemon-" + std::to_string(daemon));
    }

    caller::admission_ticket ticket_of(const flood_request& request)
    {
        return caller::admission_ticket::make(
            request.number, request.rank, request.account, request.deadline);
    }

    upstream::forward_request forward_of(const flood_request& request)
    {
        return upstream::forward_request::make(
            {}, service, {}, request.rank, true, request.deadline, {});
    }

} // namespace

fleet_policy::fleet_policy(const flood_plan& plan)
    : nodes(plan.daemons)
{
    std::vector<upstream::worker> workers;
    for (int i = 0; i < plan.workers; ++i)
    {
        const core::worker_id id("worker-" + std::to_string(i));
        workers.push_back(upstream::worker::make(id, {}, zone_name(i), false));
        this->standings.push_back(upstream::usable_worker::make(
            workers.back(), upstream::worker_state::active, 1));
        this->indexes.emplace(id, i);
    }
    std::vector<fleet::zone_daemon> live;
    std::vector<upstream::subset_daemon> daemons;
    for (int i = 0; i < plan.daemons; ++i)
    {
        live.push_back(fleet::zone_daemon::make(daemon_name(i), zone_name(i)));
        daemons.push_back(
            upstream::subset_daemon::make(daemon_name(i), zone_name(i)));
    }
    const core::slot_count slots(slots_per_worker);
    for (int i = 0; i < plan.daemons; ++i)
    {
        node& each = this->nodes[i];
        each.aggregator
            = std::make_unique<fleet::service_aggregator>(zone_name(i), 0);
        each.aggregator->store_view(service,
            fleet::service_view::make(
                workers, {}, 0.7, slots, minimum_shares, live));
        each.state->store_limits(service,
            upstream::service_dispatch_limits::make(slots,
                core::slot_count(slots.get() * plan.workers), plan.daemons,
                upstream::find_subset(
                    daemon_name(i), daemons, workers, connections_per_worker)));
    }
    for (int zone = 0; zone < zone_count; ++zone)
    {
        // Any daemon of a zone can be its aggregator.
        this->aggregator_of_zone.push_back(zone);
    }
}

caller::admission_limits fleet_policy::limits(
    int daemon, core::time_point now) const
{
    const auto limit
        = this->nodes[daemon].state->limit(service, this->standings, now);
    return caller::admission_limits::make(
        static_cast<double>(limit.get()), minimum_shares);
}

void fleet_policy::admit_waiting(
    int daemon, policy_step& step, core::time_point now)
{
    node& self = this->nodes[daemon];
    const auto current = this->limits(daemon, now);
    while (true)
    {
        const auto next = self.queue.admit_next(current, now);
        for (const auto& each : next.get_expired())
        {
            step.refused.push_back(each.get_number());
        }
        if (!next.get_admitted())
        {
            return;
        }
        step.admitted.push_back(next.get_admitted()->get_number());
    }
}

policy_step fleet_policy::offer(
    const flood_request& request, core::time_point now)
{
    policy_step step;
    const auto result = this->nodes[request.daemon].queue.offer(
        ticket_of(request), this->limits(request.daemon, now), now);
    if (result.get_refusal())
    {
        step.refused.push_back(request.number);
        return step;
    }
    if (result.get_displaced())
    {
        step.refused.push_back(result.get_displaced()->get_number());
    }
    this->admit_waiting(request.daemon, step, now);
    return step;
}

std::optional<int> fleet_policy::choose(
    const flood_request& request, std::uint64_t random, core::time_point now)
{
    upstream::dispatch_state& state = *this->nodes[request.daemon].state;
    if (request.tried.empty())
    {
        state.count_request(forward_of(request));
    }
    upstream::least_loaded_of_two policy;
    const auto chosen = upstream::choose_worker(policy,
        state.candidates(service, this->standings, now), request.tried, true,
        random);
    if (!chosen)
    {
        return std::nullopt;
    }
    state.start(service, chosen->get_id());
    return this->indexes.at(chosen->get_id());
}

bool fleet_policy::end_attempt(const flood_request& request, int worker,
    upstream::attempt_result result, core::duration latency,
    core::time_point now)
{
    upstream::dispatch_state& state = *this->nodes[request.daemon].state;
    const auto& id = this->standings[worker].get_worker().get_id();
    state.finish(service, id, result, latency, state.in_flight(id), now);
    return state.try_acquire_retry(forward_of(request), result,
        static_cast<int>(request.tried.size()), now);
}

policy_step fleet_policy::finish(const flood_request& request,
    std::optional<core::duration> service_time, core::time_point now)
{
    policy_step step;
    this->nodes[request.daemon].queue.finish(ticket_of(request), service_time);
    this->admit_waiting(request.daemon, step, now);
    return step;
}

void fleet_policy::tick(int daemon, core::time_point now)
{
    node& self = this->nodes[daemon];
    const auto current = self.queue.demand();
    for (std::size_t i = 0; i < core::rank_count; ++i)
    {
        // Moving average over about a second, as in evidence_reporter.
        self.demand[i] += 0.1 * (current[i] - self.demand[i]);
    }
    upstream::rank_flags overloaded{};
    for (const core::rank rank : core::all_ranks)
    {
        overloaded[core::index_of(rank)] = self.queue.is_overloaded(rank, now);
    }
    self.state->set_overloaded(service, overloaded);
    if (++self.ticks % 5 == daemon % 5)
    {
        this->report(daemon, now);
    }
}

void fleet_policy::report(int daemon, core::time_point now)
{
    node& self = this->nodes[daemon];
    const int own_aggregator = this->aggregator_of_zone[daemon % zone_count];
    const auto reply = this->nodes[own_aggregator].aggregator->on_report(
        fleet::evidence_report::make(fleet::report_level::daemon,
            daemon_name(daemon).str(), zone_name(daemon), service,
            ++this->sequence, {}, self.demand),
        now);
    if (reply.get_share() > 0)
    {
        self.state->store_share(service,
            upstream::fleet_share::make(
                core::slot_count(static_cast<std::int64_t>(reply.get_share())),
                reply.is_overloaded(), now + reply.get_share_validity()));
    }
    if (daemon != own_aggregator)
    {
        return;
    }
    const auto summary = self.aggregator->summary(service, now);
    for (const int other : this->aggregator_of_zone)
    {
        if (other != daemon)
        {
            this->nodes[other].aggregator->on_report(summary, now);
        }
    }
}

} // namespace pollenward::bench
