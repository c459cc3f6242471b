#pragma once

#include "core/ids.hpp"
#include "core/runtime_clock.hpp"
#include "core/sharded_map.hpp"
#include "core/units.hpp"
#include "fleet/capacity_share.hpp"
#include "fleet/evidence_merge.hpp"
#include "fleet/evidence_report.hpp"
#include "fleet/home.hpp"
#include "fleet/verdict_reply.hpp"
#include "upstream/ejection_record.hpp"
#include "upstream/worker.hpp"

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace pollenward::fleet {

/// What the home's daemon knows of a service from other sources than reports:
/// the platform's list, the drains, the configuration and the membership.
class service_view {
public:
    static service_view make(std::vector<upstream::worker> workers,
        std::vector<core::worker_id> draining, double floor_share,
        core::slot_count slots_per_worker,
        const minimum_rank_shares& minimum_shares,
        std::vector<zone_daemon> live_daemons)
    {
        service_view made;
        made.workers = std::move(workers);
        made.draining = std::move(draining);
        made.floor_share = floor_share;
        made.slots_per_worker = slots_per_worker;
        made.minimum_shares = minimum_shares;
        made.live_daemons = std::move(live_daemons);
        return made;
    }

    const std::vector<upstream::worker>& get_workers() const
    {
        return this->workers;
    }

    const std::vector<core::worker_id>& get_draining() const
    {
        return this->draining;
    }

    double get_floor_share() const { return this->floor_share; }

    core::slot_count get_slots_per_worker() const
    {
        return this->slots_per_worker;
    }

    const minimum_rank_shares& get_minimum_shares() const
    {
        return this->minimum_shares;
    }

    const std::vector<zone_daemon>& get_live_daemons() const
    {
        return this->live_daemons;
    }

    auto operator<=>(const service_view&) const = default;

private:
    std::vector<upstream::worker> workers;
    std::vector<core::worker_id> draining;
    double floor_share = 0;
    core::slot_count slots_per_worker;
    minimum_rank_shares minimum_shares{};
    std::vector<zone_daemon> live_daemons;
};

/// Everything that a home holds about one service; replaced whole.
class service_home_state {
public:
    static service_home_state make(const core::zone_id& own_zone);

    service_home_state with_view(service_view view) const;

    /// The state after a report: merged, and decided anew unless that was done
    /// in the last few milliseconds.
    service_home_state with_report(
        const evidence_report& report, core::time_point now) const;

    /// The state after another home's reply to a summary. Its ejections last
    /// here as long as there, but need some evidence of their own.
    service_home_state with_reply(
        const verdict_reply& reply, core::time_point now) const;

    /// The state after its ejections have been announced.
    service_home_state with_announcement() const;

    /// True if a worker was ejected since the last announcement.
    bool has_news() const;

    /// Decides anew. Holds and trials end by time, without any report.
    service_home_state with_decision(core::time_point now) const;

    const evidence_merge& get_merge() const { return this->merge; }

    /// Workers that are or were ejected, sorted by id.
    const std::vector<upstream::ejection_record>& get_records() const
    {
        return this->records;
    }

    /// The reply to the daemon that sent the report; to another home's summary
    /// the same without a share.
    verdict_reply reply_to(
        const evidence_report& report, core::time_point now) const;

    /// The verdicts without a share.
    verdict_reply notice(core::time_point now) const;

    bool operator==(const service_home_state&) const = default;

private:
    std::vector<upstream::verdict> verdicts(core::time_point now) const;
    std::vector<core::worker_id> ejected() const;
    std::vector<core::zone_id> silent_zones(core::time_point now) const;
    std::vector<core::worker_id> ejected_elsewhere(core::time_point now) const;
    double healthy_slots(core::time_point now) const;
    std::vector<share_claim> zone_claims(core::time_point now) const;
    double slots_without_silent_zones(core::time_point now) const;
    double own_zone_slots(core::time_point now) const;
    double share_of(const std::string& daemon, core::time_point now) const;
    int daemons_in(const core::zone_id& zone) const;

    core::zone_id own_zone;
    evidence_merge merge;
    service_view view;
    std::vector<upstream::ejection_record> records;
    std::vector<core::worker_id> announced;
    std::map<core::worker_id, core::time_point> elsewhere;
    std::optional<core::time_point> began;
    std::optional<core::time_point> decided;
};

/// The services that this daemon is the home of for its zone. A daemon that is
/// not the home, or one of two, may be asked all the same: it answers from the
/// reports it gets. Any thread may call any function.
class service_home {
public:
    /// `sequence_base` is the wall clock minus the runtime clock in ms. It
    /// makes the sequence numbers of a zone's summaries grow when the zone's
    /// home moves to another daemon.
    service_home(core::zone_id own_zone, std::uint64_t sequence_base)
        : own_zone(std::move(own_zone))
        , sequence_base(sequence_base)
    {
    }

    /// Replaces what is known of the service. Until the first call, replies
    /// have no verdicts and share 0.
    void store_view(const core::service_id& service, service_view view);

    verdict_reply on_report(
        const evidence_report& report, core::time_point now);

    /// Takes in the reply of another home to a summary.
    void on_reply(const core::service_id& service, const verdict_reply& reply,
        core::time_point now);

    /// The verdicts if a worker was ejected since the last call, else nothing.
    /// To be called after on_report(), on_reply() and summary(), and to be sent
    /// to the daemons of the zone at once: waiting for their next reports would
    /// take up to half a second. Its share is 0; the daemon keeps its share.
    std::optional<verdict_reply> take_notice(
        const core::service_id& service, core::time_point now);

    /// The summary of the own zone for the homes of the service in the other
    /// zones. Also decides anew and forgets what has expired.
    evidence_report summary(
        const core::service_id& service, core::time_point now);

    /// Forgets a service that this daemon is no longer the home of.
    void forget(const core::service_id& service);

    /// The state of the service, for status and metrics.
    std::optional<service_home_state> find(
        const core::service_id& service) const;

private:
    core::zone_id own_zone;
    std::uint64_t sequence_base;
    core::sharded_map<core::service_id, service_home_state> states;
};

} // namespace pollenward::fleet
