#include "fleet/service_aggregator.hpp"

#include "upstream/ejection_policy.hpp"
#include "upstream/floor.hpp"

#include <algorithm>

namespace pollenward::fleet {

namespace {

    // The aggregator of a busy service receives hundreds of reports a second.
    // Deciding after each of them would not eject workers any sooner.
    constexpr core::milliseconds decision_interval(20);

} // namespace

service_aggregator_state service_aggregator_state::make(
    const core::zone_id& own_zone)
{
    service_aggregator_state made;
    made.own_zone = own_zone;
    made.merge = evidence_merge::make(own_zone);
    return made;
}

service_aggregator_state service_aggregator_state::with_view(
    service_view view) const
{
    service_aggregator_state next = *this;
    next.view = std::move(view);
    return next;
}

service_aggregator_state service_aggregator_state::with_report(
    const evidence_report& report, core::time_point now) const
{
    service_aggregator_state next = *this;
    next.merge = this->merge.with_report(report, now);
    const bool is_due = !this->last_decision
        || now - *this->last_decision >= decision_interval;
    return is_due ? next.with_decision(now) : next;
}

service_aggregator_state service_aggregator_state::with_reply(
    const verdict_reply& reply, core::time_point now) const
{
    service_aggregator_state next = *this;
    for (const upstream::verdict& each : reply.get_verdicts())
    {
        if (each.get_state() == upstream::worker_state::ejected)
        {
            next.remote_ejections.insert_or_assign(
                each.get_worker(), now + each.get_remaining());
        }
    }
    return next.with_decision(now);
}

/// The zones whose evidence is missing. A new aggregator also counts each zone
/// that has live daemons but has not reported yet, or the first report to
/// arrive would decide alone. A zone that has not reported `report_validity`
/// after the first decision has no traffic.
std::vector<core::zone_id> service_aggregator_state::zones_without_evidence(
    core::time_point now) const
{
    auto missing = this->merge.zones_without_evidence(now);
    if (!this->first_decision || now - *this->first_decision >= report_validity)
    {
        return missing;
    }
    const auto reporting = this->merge.zone_demand(now);
    for (const zone_daemon& each : this->view.get_live_daemons())
    {
        const auto& zone = each.get_zone();
        const bool is_reporting = std::any_of(
            reporting.begin(), reporting.end(), [&](const auto& other) {
                return other.get_source() == zone.str();
            });
        const bool is_listed
            = std::find(missing.begin(), missing.end(), zone) != missing.end();
        if (!is_reporting && !is_listed)
        {
            missing.push_back(zone);
        }
    }
    return missing;
}

std::vector<core::worker_id> service_aggregator_state::ejected_workers() const
{
    std::vector<core::worker_id> found;
    for (const upstream::ejection_record& each : this->records)
    {
        if (each.get_state() == upstream::worker_state::ejected)
        {
            found.push_back(each.get_worker());
        }
    }
    return found;
}

std::vector<core::worker_id> service_aggregator_state::ejected_elsewhere(
    core::time_point now) const
{
    std::vector<core::worker_id> found;
    for (const auto& [worker, end] : this->remote_ejections)
    {
        if (now < end)
        {
            found.push_back(worker);
        }
    }
    return found;
}

service_aggregator_state
service_aggregator_state::with_ejections_announced() const
{
    service_aggregator_state next = *this;
    next.announced_ejections = this->ejected_workers();
    return next;
}

bool service_aggregator_state::has_new_ejections() const
{
    // Both lists are sorted, as the records are.
    const auto present = this->ejected_workers();
    return !std::includes(this->announced_ejections.begin(),
        this->announced_ejections.end(), present.begin(), present.end());
}

verdict_reply service_aggregator_state::make_notice(core::time_point now) const
{
    return verdict_reply::make(this->verdicts(now), 0, core::milliseconds(0),
        false, this->view.get_draining());
}

service_aggregator_state service_aggregator_state::with_decision(
    core::time_point now) const
{
    service_aggregator_state next = *this;
    next.merge = this->merge.without_expired(now);
    std::erase_if(next.remote_ejections,
        [&](const auto& entry) { return now >= entry.second; });
    next.first_decision = this->first_decision.value_or(now);
    const auto missing = next.zones_without_evidence(now);
    next.records = upstream::decide_ejections(
        upstream::ejection_input::make(this->view.get_workers(),
            this->view.get_draining(), this->view.get_floor_share(),
            next.merge.sources(now), static_cast<int>(missing.size()),
            this->ejected_elsewhere(now)),
        this->records, now);
    next.last_decision = now;
    return next;
}

std::vector<upstream::verdict> service_aggregator_state::verdicts(
    core::time_point now) const
{
    std::vector<upstream::verdict> made;
    made.reserve(this->records.size());
    for (const upstream::ejection_record& each : this->records)
    {
        made.push_back(each.to_verdict(now));
    }
    return made;
}

double service_aggregator_state::healthy_slots(core::time_point now) const
{
    double capacity = 0;
    for (const auto& each : upstream::usable_workers(this->view.get_workers(),
             upstream::make_received_verdicts(this->verdicts(now), now),
             this->view.get_draining(), {}, this->view.get_floor_share(), now))
    {
        capacity += each.get_weight();
    }
    return capacity
        * static_cast<double>(this->view.get_slots_per_worker().get());
}

int service_aggregator_state::daemons_in(const core::zone_id& zone) const
{
    const auto& live = this->view.get_live_daemons();
    return static_cast<int>(std::count_if(live.begin(), live.end(),
        [&](const zone_daemon& each) { return each.get_zone() == zone; }));
}

/// The share requests of the zones, in the order of zone_demand().
std::vector<share_request> service_aggregator_state::zone_share_requests(
    core::time_point now) const
{
    std::vector<share_request> requests;
    for (const source_demand& each : this->merge.zone_demand(now))
    {
        requests.push_back(share_request::make(each.get_demand(),
            std::max(1, this->daemons_in(core::zone_id(each.get_source())))));
    }
    return requests;
}

/// All slots less those that zones without reports use. Their daemons still
/// send requests, up to the safe share: all slots divided by all daemons.
double service_aggregator_state::slots_of_reporting_zones(
    core::time_point now) const
{
    const double slots = this->healthy_slots(now);
    const auto live = this->view.get_live_daemons().size();
    const auto requesting = this->merge.zone_demand(now);
    int missing = 0;
    for (const core::zone_id& each : this->zones_without_evidence(now))
    {
        const bool is_requesting = std::any_of(requesting.begin(),
            requesting.end(),
            [&](const auto& zone) { return zone.get_source() == each.str(); });
        missing += is_requesting ? 0 : this->daemons_in(each);
    }
    return live == 0 ? slots
                     : slots
            * (1 - static_cast<double>(missing) / static_cast<double>(live));
}

double service_aggregator_state::own_zone_slots(core::time_point now) const
{
    const auto zones = this->merge.zone_demand(now);
    const auto shares = allocate_capacity(this->slots_of_reporting_zones(now),
        this->zone_share_requests(now), this->view.get_minimum_shares());
    for (std::size_t i = 0; i < zones.size(); ++i)
    {
        if (zones[i].get_source() == this->own_zone.str())
        {
            return shares[i];
        }
    }
    return 0;
}

double service_aggregator_state::share_of(
    const std::string& daemon, core::time_point now) const
{
    if (this->view.get_workers().empty())
    {
        return 0;
    }
    const auto demands = this->merge.daemon_demand(now);
    std::vector<share_request> requests;
    requests.reserve(demands.size());
    for (const source_demand& each : demands)
    {
        requests.push_back(share_request::make(each.get_demand(), 1));
    }
    const auto shares = allocate_capacity(
        this->own_zone_slots(now), requests, this->view.get_minimum_shares());
    for (std::size_t i = 0; i < demands.size(); ++i)
    {
        if (demands[i].get_source() == daemon)
        {
            return shares[i];
        }
    }
    return 0;
}

verdict_reply service_aggregator_state::reply_to(
    const evidence_report& report, core::time_point now) const
{
    const double share = report.get_level() == report_level::daemon
        ? this->share_of(report.get_source(), now)
        : 0;
    const bool is_over = !this->view.get_workers().empty()
        && is_overloaded(this->slots_of_reporting_zones(now),
            this->zone_share_requests(now));
    return verdict_reply::make(this->verdicts(now), share, share_validity,
        is_over, this->view.get_draining());
}

void service_aggregator::store_view(
    const core::service_id& service, service_view view)
{
    this->states.update(service, [&](const auto& present) {
        return std::optional(
            present.value_or(service_aggregator_state::make(this->own_zone))
                .with_view(std::move(view)));
    });
}

verdict_reply service_aggregator::on_report(
    const evidence_report& report, core::time_point now)
{
    const auto state = this->states.update(
        report.get_service(), [&](const auto& present) {
            return std::optional(
                present.value_or(service_aggregator_state::make(this->own_zone))
                    .with_report(report, now));
        });
    return state->reply_to(report, now);
}

evidence_report service_aggregator::summary(
    const core::service_id& service, core::time_point now)
{
    const auto state = this->states.update(service, [&](const auto& present) {
        return std::optional(
            present.value_or(service_aggregator_state::make(this->own_zone))
                .with_decision(now));
    });
    const auto uptime = std::chrono::duration_cast<core::milliseconds>(
        now.time_since_epoch());
    const auto sequence
        = this->sequence_base + static_cast<std::uint64_t>(uptime.count());
    return state->get_merge().zone_summary(service, sequence, now);
}

void service_aggregator::on_reply(const core::service_id& service,
    const verdict_reply& reply, core::time_point now)
{
    this->states.update(service, [&](const auto& present) {
        return present ? std::optional(present->with_reply(reply, now))
                       : present;
    });
}

std::optional<verdict_reply> service_aggregator::take_ejection_notice(
    const core::service_id& service, core::time_point now)
{
    std::optional<verdict_reply> notice;
    this->states.update(service, [&](const auto& present) {
        if (!present)
        {
            return present;
        }
        if (present->has_new_ejections())
        {
            notice = present->make_notice(now);
        }
        // Also removes workers that are no longer ejected, so that their next
        // ejection is announced again.
        return std::optional(present->with_ejections_announced());
    });
    return notice;
}

void service_aggregator::remove(const core::service_id& service)
{
    this->states.erase(service);
}

std::optional<service_aggregator_state> service_aggregator::find(
    const core::service_id& service) const
{
    return this->states.find(service);
}

} // namespace pollenward::fleet
