#pragma once

#include "core/ids.hpp"
#include "core/runtime_clock.hpp"
#include "core/sharded_map.hpp"
#include "core/units.hpp"
#include "fleet/aggregator_selection.hpp"
#include "fleet/capacity_share.hpp"
#include "fleet/evidence_merge.hpp"
#include "fleet/evidence_report.hpp"
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

/// The inputs of an aggregator that do not come from reports: the platform's
/// worker list, the drains, the configuration and the membership.
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

/// The state of an aggregator for one service. Each change replaces the whole
/// value.
class service_aggregator_state {
public:
    static service_aggregator_state make(const core::zone_id& own_zone);

    service_aggregator_state with_view(service_view view) const;

    /// The state after a report is merged. The verdicts are computed again
    /// unless that was done in the last few milliseconds.
    service_aggregator_state with_report(
        const evidence_report& report, core::time_point now) const;

    /// The state after another aggregator's reply to a summary. Its ejections
    /// last as long here as there, but also need some evidence from here.
    service_aggregator_state with_reply(
        const verdict_reply& reply, core::time_point now) const;

    /// The state after its ejections have been announced.
    service_aggregator_state with_ejections_announced() const;

    /// True if a worker was ejected since the last announcement.
    bool has_new_ejections() const;

    /// Computes the verdicts again. Ejections and trials end by time, without
    /// any report.
    service_aggregator_state with_decision(core::time_point now) const;

    const evidence_merge& get_merge() const { return this->merge; }

    /// Workers that are or were ejected, sorted by id.
    const std::vector<upstream::ejection_record>& get_records() const
    {
        return this->records;
    }

    /// The reply to the daemon that sent the report. The reply to another
    /// aggregator's summary is the same without a share.
    verdict_reply reply_to(
        const evidence_report& report, core::time_point now) const;

    /// The verdicts without a share.
    verdict_reply make_notice(core::time_point now) const;

    bool operator==(const service_aggregator_state&) const = default;

private:
    std::vector<upstream::verdict> verdicts(core::time_point now) const;
    std::vector<core::worker_id> ejected_workers() const;
    std::vector<core::zone_id> zones_without_evidence(
        core::time_point now) const;
    std::vector<core::worker_id> ejected_elsewhere(core::time_point now) const;
    double healthy_slots(core::time_point now) const;
    std::vector<share_request> zone_share_requests(core::time_point now) const;
    double slots_of_reporting_zones(core::time_point now) const;
    double own_zone_slots(core::time_point now) const;
    double share_of(const std::string& daemon, core::time_point now) const;
    int daemons_in(const core::zone_id& zone) const;

    core::zone_id own_zone;
    evidence_merge merge;
    service_view view;
    std::vector<upstream::ejection_record> records;
    std::vector<core::worker_id> announced_ejections;
    std::map<core::worker_id, core::time_point> remote_ejections;
    std::optional<core::time_point> first_decision;
    std::optional<core::time_point> last_decision;
};

/// Merges the reports of a zone about the services that this daemon aggregates,
/// and decides on ejections and shares. A daemon may receive reports although
/// it is not the aggregator or is one of two; it then replies from the reports
/// that it has. Thread safe.
class service_aggregator {
public:
    /// `sequence_base` is the wall clock minus the runtime clock in ms. With
    /// it, the sequence numbers of a zone's summaries keep growing when the
    /// aggregator moves to another daemon.
    service_aggregator(core::zone_id own_zone, std::uint64_t sequence_base)
        : own_zone(std::move(own_zone))
        , sequence_base(sequence_base)
    {
    }

    /// Replaces the inputs of the service. Until the first call, replies have
    /// no verdicts and share 0.
    void store_view(const core::service_id& service, service_view view);

    verdict_reply on_report(
        const evidence_report& report, core::time_point now);

    /// Merges the reply of another aggregator to a summary.
    void on_reply(const core::service_id& service, const verdict_reply& reply,
        core::time_point now);

    /// The verdicts if a worker was ejected since the last call, else nothing.
    /// Call it after on_report(), on_reply() and summary(), and send the result
    /// to the daemons of the zone at once: their next reports may be half a
    /// second away. The share in it is 0; the daemons keep theirs.
    std::optional<verdict_reply> take_ejection_notice(
        const core::service_id& service, core::time_point now);

    /// The summary of the own zone for the service's aggregators in the other
    /// zones. Also computes the verdicts again and removes expired reports.
    evidence_report summary(
        const core::service_id& service, core::time_point now);

    /// Removes a service that this daemon no longer aggregates.
    void remove(const core::service_id& service);

    /// The state of the service, for status and metrics.
    std::optional<service_aggregator_state> find(
        const core::service_id& service) const;

private:
    core::zone_id own_zone;
    std::uint64_t sequence_base;
    core::sharded_map<core::service_id, service_aggregator_state> states;
};

} // namespace pollenward::fleet
