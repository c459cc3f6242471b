#include "fleet/service_home.hpp"

#include "upstream/ejection_policy.hpp"
#include "upstream/floor.hpp"

#include <algorithm>

namespace pollenward::fleet {

namespace {

    // A home of a busy service gets hundreds of reports a second; deciding on
    // each of them would not be faster in effect.
    constexpr core::milliseconds decision_interval(20);

} // namespace

service_home_state service_home_state::make(const core::zone_id& own_zone)
{
    service_home_state made;
    made.own_zone = own_zone;
    made.merge = evidence_merge::make(own_zone);
    return made;
}

service_home_state service_home_state::with_view(service_view view) const
{
    service_home_state next = *this;
    next.view = std::move(view);
    return next;
}

service_home_state service_home_state::with_report(
    const evidence_report& report, core::time_point now) const
{
    service_home_state next = *this;
    next.merge = this->merge.with_report(report, now);
    const bool is_due
        = !this->decided || now - *this->decided >= decision_interval;
    return is_due ? next.with_decision(now) : next;
}

service_home_state service_home_state::with_reply(
    const verdict_reply& reply, core::time_point now) const
{
    service_home_state next = *this;
    for (const upstream::verdict& each : reply.get_verdicts())
    {
        if (each.get_state() == upstream::worker_state::ejected)
        {
            next.elsewhere.insert_or_assign(
                each.get_worker(), now + each.get_remaining());
        }
    }
    return next.with_decision(now);
}

/// The zones of which this home does not know what they see. A new home also
/// waits for each zone with live daemons, or the first report to arrive would
/// decide alone; a zone that then has not reported has no traffic.
std::vector<core::zone_id> service_home_state::silent_zones(
    core::time_point now) const
{
    auto silent = this->merge.silent_zones(now);
    if (!this->began || now - *this->began >= report_validity)
    {
        return silent;
    }
    const auto heard = this->merge.zone_demand(now);
    for (const zone_daemon& each : this->view.get_live_daemons())
    {
        const auto& zone = each.get_zone();
        const bool is_heard
            = std::any_of(heard.begin(), heard.end(), [&](const auto& other) {
                  return other.get_source() == zone.str();
              });
        const bool is_listed
            = std::find(silent.begin(), silent.end(), zone) != silent.end();
        if (!is_heard && !is_listed)
        {
            silent.push_back(zone);
        }
    }
    return silent;
}

std::vector<core::worker_id> service_home_state::ejected() const
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

std::vector<core::worker_id> service_home_state::ejected_elsewhere(
    core::time_point now) const
{
    std::vector<core::worker_id> found;
    for (const auto& [worker, end] : this->elsewhere)
    {
        if (now < end)
        {
            found.push_back(worker);
        }
    }
    return found;
}

service_home_state service_home_state::with_announcement() const
{
    service_home_state next = *this;
    next.announced = this->ejected();
    return next;
}

bool service_home_state::has_news() const
{
    // Both lists are sorted, as the records are.
    const auto present = this->ejected();
    return !std::includes(this->announced.begin(), this->announced.end(),
        present.begin(), present.end());
}

verdict_reply service_home_state::notice(core::time_point now) const
{
    return verdict_reply::make(this->verdicts(now), 0, core::milliseconds(0),
        false, this->view.get_draining());
}

service_home_state service_home_state::with_decision(core::time_point now) const
{
    service_home_state next = *this;
    next.merge = this->merge.without_expired(now);
    std::erase_if(
        next.elsewhere, [&](const auto& entry) { return now >= entry.second; });
    next.began = this->began.value_or(now);
    const auto silent = next.silent_zones(now);
    next.records = upstream::decide_ejections(
        upstream::ejection_input::make(this->view.get_workers(),
            this->view.get_draining(), this->view.get_floor_share(),
            next.merge.sources(now), static_cast<int>(silent.size()),
            this->ejected_elsewhere(now)),
        this->records, now);
    next.decided = now;
    return next;
}

std::vector<upstream::verdict> service_home_state::verdicts(
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

double service_home_state::healthy_slots(core::time_point now) const
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

int service_home_state::daemons_in(const core::zone_id& zone) const
{
    const auto& live = this->view.get_live_daemons();
    return static_cast<int>(std::count_if(live.begin(), live.end(),
        [&](const zone_daemon& each) { return each.get_zone() == zone; }));
}

/// The claims of the zones, in the order of zone_demand().
std::vector<share_claim> service_home_state::zone_claims(
    core::time_point now) const
{
    std::vector<share_claim> claims;
    for (const source_demand& each : this->merge.zone_demand(now))
    {
        claims.push_back(share_claim::make(each.get_demand(),
            std::max(1, this->daemons_in(core::zone_id(each.get_source())))));
    }
    return claims;
}

/// A zone that is not heard still sends work, by the safe share of its
/// daemons: all slots divided by all daemons.
double service_home_state::slots_without_silent_zones(
    core::time_point now) const
{
    const double slots = this->healthy_slots(now);
    const auto live = this->view.get_live_daemons().size();
    const auto claiming = this->merge.zone_demand(now);
    int silent = 0;
    for (const core::zone_id& each : this->silent_zones(now))
    {
        const bool is_claiming = std::any_of(claiming.begin(), claiming.end(),
            [&](const auto& zone) { return zone.get_source() == each.str(); });
        silent += is_claiming ? 0 : this->daemons_in(each);
    }
    return live == 0
        ? slots
        : slots * (1 - static_cast<double>(silent) / static_cast<double>(live));
}

double service_home_state::own_zone_slots(core::time_point now) const
{
    const auto zones = this->merge.zone_demand(now);
    const auto shares = deal_capacity(this->slots_without_silent_zones(now),
        this->zone_claims(now), this->view.get_minimum_shares());
    for (std::size_t i = 0; i < zones.size(); ++i)
    {
        if (zones[i].get_source() == this->own_zone.str())
        {
            return shares[i];
        }
    }
    return 0;
}

double service_home_state::share_of(
    const std::string& daemon, core::time_point now) const
{
    if (this->view.get_workers().empty())
    {
        return 0;
    }
    const auto demands = this->merge.daemon_demand(now);
    std::vector<share_claim> claims;
    claims.reserve(demands.size());
    for (const source_demand& each : demands)
    {
        claims.push_back(share_claim::make(each.get_demand(), 1));
    }
    const auto shares = deal_capacity(
        this->own_zone_slots(now), claims, this->view.get_minimum_shares());
    for (std::size_t i = 0; i < demands.size(); ++i)
    {
        if (demands[i].get_source() == daemon)
        {
            return shares[i];
        }
    }
    return 0;
}

verdict_reply service_home_state::reply_to(
    const evidence_report& report, core::time_point now) const
{
    const double share = report.get_level() == report_level::daemon
        ? this->share_of(report.get_source(), now)
        : 0;
    const bool is_over = !this->view.get_workers().empty()
        && is_overloaded(
            this->slots_without_silent_zones(now), this->zone_claims(now));
    return verdict_reply::make(this->verdicts(now), share, share_validity,
        is_over, this->view.get_draining());
}

void service_home::store_view(
    const core::service_id& service, service_view view)
{
    this->states.update(service, [&](const auto& present) {
        return std::optional(
            present.value_or(service_home_state::make(this->own_zone))
                .with_view(std::move(view)));
    });
}

verdict_reply service_home::on_report(
    const evidence_report& report, core::time_point now)
{
    const auto state
        = this->states.update(report.get_service(), [&](const auto& present) {
              return std::optional(
                  present.value_or(service_home_state::make(this->own_zone))
                      .with_report(report, now));
          });
    return state->reply_to(report, now);
}

evidence_report service_home::summary(
    const core::service_id& service, core::time_point now)
{
    const auto state = this->states.update(service, [&](const auto& present) {
        return std::optional(
            present.value_or(service_home_state::make(this->own_zone))
                .with_decision(now));
    });
    const auto uptime = std::chrono::duration_cast<core::milliseconds>(
        now.time_since_epoch());
    const auto sequence
        = this->sequence_base + static_cast<std::uint64_t>(uptime.count());
    return state->get_merge().zone_summary(service, sequence, now);
}

void service_home::on_reply(const core::service_id& service,
    const verdict_reply& reply, core::time_point now)
{
    this->states.update(service, [&](const auto& present) {
        return present ? std::optional(present->with_reply(reply, now))
                       : present;
    });
}

std::optional<verdict_reply> service_home::take_notice(
    const core::service_id& service, core::time_point now)
{
    std::optional<verdict_reply> notice;
    this->states.update(service, [&](const auto& present) {
        if (!present)
        {
            return present;
        }
        if (present->has_news())
        {
            notice = present->notice(now);
        }
        // Also forgets workers that are back, so that their next ejection is
        // news again.
        return std::optional(present->with_announcement());
    });
    return notice;
}

void service_home::forget(const core::service_id& service)
{
    this->states.erase(service);
}

std::optional<service_home_state> service_home::find(
    const core::service_id& service) const
{
    return this->states.find(service);
}

} // namespace pollenward::fleet
