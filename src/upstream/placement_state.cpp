#include "upstream/placement_state.hpp"

#include "upstream/rate_share.hpp"

#include <algorithm>
#include <map>
#include <set>

namespace pollenward::upstream {

namespace {

    /// Number of answers that a service's latency estimate weighs at most.
    constexpr double max_latency_count = 300;
    /// Assumed until answers were recorded; most services take less time.
    constexpr core::milliseconds prior_median{ 450 };
    /// An older load report of a worker is out of date.
    constexpr core::milliseconds max_load_age{ 1500 };
    /// A failed connect costs its whole time limit, so one is enough.
    constexpr int path_failures_to_avoid = 1;
    constexpr core::duration never_used = std::chrono::hours(1);

    double load_of(const worker_traffic& traffic, core::time_point now)
    {
        const auto& hint = traffic.get_load();
        const double reported = hint && now - hint->get_at() <= max_load_age
            ? hint->get_running() + hint->get_waiting()
            : 0;
        return std::max(reported, static_cast<double>(traffic.get_in_flight()));
    }

} // namespace

placement_state::placement_state(zone_map zones, gray_failure_model model)
    : zones(std::move(zones))
    , model(model)
    , paths(path_failures_to_avoid)
{
}

void placement_state::store_listed(const std::vector<listed_worker>& listed)
{
    std::map<core::service_id, std::vector<listed_worker>> by_service;
    std::set<core::worker_id> present;
    for (const listed_worker& each : listed)
    {
        by_service[each.get_service()].push_back(each);
        present.insert(each.get_worker().get_id());
    }
    for (auto& [service, workers] : by_service)
    {
        this->listed.store(service,
            std::make_shared<const std::vector<listed_worker>>(
                std::move(workers)));
    }
    this->listed.erase_if([&](const core::service_id& service, const auto&) {
        return by_service.count(service) == 0;
    });
    this->listed_count = listed.size();
    this->notices.store_listed(listed, core::runtime_clock::now());
    const auto is_absent = [&](const core::worker_id& who, const auto&) {
        return present.count(who) == 0;
    };
    this->excluded.erase_if(is_absent);
    this->next_sends.erase_if(is_absent);
    this->own.erase_if(
        [&](const core::worker_id& who, const worker_traffic& each) {
            return each.get_in_flight() == 0 && present.count(who) == 0;
        });
}

placement_state::shared_workers placement_state::find(
    const core::service_id& service) const
{
    static const auto none
        = std::make_shared<const std::vector<listed_worker>>();
    return this->listed.find(service).value_or(none);
}

bool placement_state::is_serving(const listed_worker& each) const
{
    const worker& who = each.get_worker();
    return !who.is_leaving() && !this->excluded.find(who.get_id())
        && !this->notices.is_leaving(each);
}

std::optional<core::duration> placement_state::shortest_pause(
    const core::service_id& service, core::time_point now) const
{
    std::optional<core::duration> shortest;
    const auto workers = this->find(service);
    for (const listed_worker& each : *workers)
    {
        if (!this->is_serving(each))
        {
            continue;
        }
        const auto until = this->notices.find_pause(each, now);
        if (!until)
        {
            return std::nullopt;
        }
        shortest = shortest ? std::min(*shortest, *until - now) : *until - now;
    }
    return shortest;
}

worker_traffic placement_state::traffic_of(
    const core::worker_id& who, core::time_point now) const
{
    const auto mine = this->own.find(who);
    const auto others = this->zone.find(who);
    if (mine && others)
    {
        return mine->merged(*others, now);
    }
    return mine ? *mine : others.value_or(worker_traffic());
}

placement_candidates placement_state::candidates(
    const core::service_id& service,
    const std::vector<core::worker_id>& left_out, core::time_point now) const
{
    const auto workers = this->find(service);
    const auto latencies = this->profile(service);
    const auto avoided = this->paths.avoided(service, now);
    placement_candidates found;
    found.reserve(workers->size());
    for (const listed_worker& each : *workers)
    {
        const worker& who = each.get_worker();
        if (!this->is_serving(each) || this->notices.find_pause(each, now)
            || std::binary_search(avoided.begin(), avoided.end(), who.get_id())
            || std::find(left_out.begin(), left_out.end(), who.get_id())
                != left_out.end())
        {
            continue;
        }
        const worker_traffic traffic = this->traffic_of(who.get_id(), now);
        const auto limit = traffic.rate_limit(now);
        if (limit && !this->may_send(who, *limit, now))
        {
            continue;
        }
        const auto last_sent = traffic.get_last_sent();
        found.push_back(placement_candidate::make(each,
            this->zones.distance_to(who.get_zone()),
            loss_probability(faulty_probability(traffic.get_samples(),
                                 latencies, this->model, now),
                this->model),
            load_of(traffic, now), last_sent ? now - *last_sent : never_used)
                            .with_rate_limit(limit.has_value()));
    }
    return found;
}

double placement_state::free_slots(
    const core::service_id& service, core::time_point now) const
{
    // A worker that loses more than this does not shorten a queue.
    constexpr double max_loss = 0.6;
    // The load of workers in other regions is reported too late to use all of
    // their free slots.
    constexpr double remote_share = 0.25;
    double free = 0;
    for (const placement_candidate& each : this->candidates(service, {}, now))
    {
        const double share = each.get_distance() == zone_distance::other_region
            ? remote_share
            : 1;
        free += each.get_loss() <= max_loss ? each.get_free_slots() * share
                                            : 0.0;
    }
    return free;
}

latency_profile placement_state::profile(const core::service_id& service) const
{
    return latency_profile::make(
        this->latencies.find(service).value_or(latency_sums()), prior_median);
}

std::optional<core::duration> placement_state::send_interval_of(
    const worker& target, double per_second) const
{
    return this->daemons.read(
        [&](const sending_daemons& all) -> std::optional<core::duration> {
            const auto found = all.by_zone.find(target.get_zone());
            if (found != all.by_zone.end() && !found->second.empty())
            {
                return send_interval(
                    target.get_id(), per_second, all.self, found->second);
            }
            // A worker in a zone without daemons serves all zones.
            std::vector<core::daemon_id> any;
            for (const auto& [zone, daemons] : all.by_zone)
            {
                any.insert(any.end(), daemons.begin(), daemons.end());
            }
            return send_interval(target.get_id(), per_second, all.self, any);
        });
}

bool placement_state::may_send(
    const worker& target, double per_second, core::time_point now) const
{
    const auto next = this->next_sends.find(target.get_id());
    return (!next || now >= *next)
        && this->send_interval_of(target, per_second).has_value();
}

void placement_state::pace_sends(const worker& target, core::time_point now)
{
    const auto limit = this->traffic_of(target.get_id(), now).rate_limit(now);
    const auto interval
        = limit ? this->send_interval_of(target, *limit) : std::nullopt;
    if (interval)
    {
        this->next_sends.store(target.get_id(), now + *interval);
    }
}

void placement_state::record_rate(const core::worker_id& who,
    std::optional<double> per_second, core::time_point now)
{
    this->own.update(who, [&](const std::optional<worker_traffic>& present) {
        const bool is_stated = per_second || (present && present->get_rate());
        return is_stated ? std::optional(
                   present.value_or(worker_traffic())
                       .with_rate(rate_statement::make(per_second, now)))
                         : present;
    });
}

void placement_state::store_daemons(const core::daemon_id& self,
    std::map<core::zone_id, std::vector<core::daemon_id>> by_zone)
{
    this->daemons.store({ self, std::move(by_zone) });
}

void placement_state::record_send(const worker& target, core::time_point now)
{
    const core::worker_id& who = target.get_id();
    this->pace_sends(target, now);
    this->own.visit(
        who, [] { return worker_traffic(); },
        [&](worker_traffic& mine) { mine = mine.with_send(now); });
    this->has_activity = true;
}

void placement_state::record_send_end(const core::service_id& service,
    const core::worker_id& who, core::time_point sent_at,
    std::optional<sample_state> state, core::time_point now)
{
    this->own.visit(
        who, [] { return worker_traffic(); },
        [&](worker_traffic& mine) {
            mine = mine.with_end(sent_at, state, now);
        });
    if (state == sample_state::answered)
    {
        const auto add = [&](latency_sums& sums) {
            sums = sums.with_answer(now - sent_at).capped(max_latency_count);
        };
        const auto none = [] { return latency_sums(); };
        this->fresh_latencies.visit(service, none, add);
        this->latencies.visit(service, none, add);
    }
    this->has_activity = true;
}

void placement_state::record_load(
    const core::worker_id& who, const load_hint& load)
{
    this->own.visit(
        who, [] { return worker_traffic(); },
        [&](worker_traffic& mine) { mine = mine.with_load(load); });
}

void placement_state::record_path_result(const core::service_id& service,
    const core::worker_id& who, attempt_result result, core::time_point now)
{
    this->paths.record(service, who, result, now);
}

void placement_state::exclude_worker(const core::worker_id& who)
{
    this->excluded.store(who, true);
}

std::vector<named_traffic> placement_state::own_traffic(core::time_point now)
{
    this->own.erase_if([&](const core::worker_id&, const worker_traffic& each) {
        return each.is_idle(now);
    });
    return this->own.entries();
}

std::vector<named_latencies> placement_state::take_latencies()
{
    std::vector<named_latencies> taken;
    for (const auto& [service, sums] : this->fresh_latencies.entries())
    {
        // Includes what was added since the copy.
        if (const auto last = this->fresh_latencies.extract(service))
        {
            taken.emplace_back(service, *last);
        }
    }
    return taken;
}

bool placement_state::test_and_clear_activity()
{
    return this->has_activity.exchange(false);
}

void placement_state::store_zone_traffic(std::vector<named_traffic> traffic)
{
    std::set<core::worker_id> reported;
    for (auto& [who, each] : traffic)
    {
        reported.insert(who);
        this->zone.store(who, std::move(each));
    }
    this->zone.erase_if([&](const core::worker_id& who, const auto&) {
        return reported.count(who) == 0;
    });
}

void placement_state::store_zone_latencies(
    const std::vector<named_latencies>& latencies)
{
    for (const auto& [service, sums] : latencies)
    {
        this->latencies.store(service, sums);
    }
}

} // namespace pollenward::upstream
