#pragma once

#include "core/ids.hpp"
#include "core/runtime_clock.hpp"
#include "fleet/capacity_share.hpp"
#include "fleet/evidence_report.hpp"
#include "upstream/source_evidence.hpp"

#include <compare>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace pollenward::fleet {

/// A report that no newer one replaces is used for this long.
inline constexpr core::duration report_validity = core::seconds(5);

/// A zone that stops reporting counts as a zone without evidence until this
/// time after its last summary. After that the zones that still reach each
/// other decide without it, since regions lose contact for minutes.
inline constexpr core::duration zone_retention = std::chrono::minutes(1);

/// The demand of one daemon or zone.
class source_demand {
public:
    static source_demand make(std::string source, const rank_demand& demand)
    {
        source_demand made;
        made.source = std::move(source);
        made.demand = demand;
        return made;
    }

    const std::string& get_source() const { return this->source; }
    const rank_demand& get_demand() const { return this->demand; }

    auto operator<=>(const source_demand&) const = default;

private:
    std::string source;
    rank_demand demand{};
};

/// The newest reports about one service that the aggregator of a zone received:
/// those of the daemons of its zone, and the summaries of the other zones.
class evidence_merge {
public:
    static evidence_merge make(core::zone_id own_zone)
    {
        evidence_merge made;
        made.own_zone = std::move(own_zone);
        return made;
    }

    /// The merge after a report. A report that is not newer than the one of
    /// the same source changes nothing, and neither does a daemon's report
    /// from another zone or a summary of the own zone: they would count twice.
    evidence_merge with_report(
        const evidence_report& report, core::time_point now) const;

    /// The merge without expired reports.
    evidence_merge without_expired(core::time_point now) const;

    /// Present evidence, decayed by its age: one entry for each daemon of the
    /// own zone and one for each other zone.
    std::vector<upstream::source_evidence> sources(core::time_point now) const;

    /// Present demand of the daemons of the own zone, sorted by id.
    std::vector<source_demand> daemon_demand(core::time_point now) const;

    /// Present demand per zone, the own one included, sorted by zone.
    std::vector<source_demand> zone_demand(core::time_point now) const;

    /// The zones whose evidence is missing: those that reported before but not
    /// within `report_validity`, and those that have demand but no evidence,
    /// since all of it was left out as a fault of their own.
    std::vector<core::zone_id> zones_without_evidence(
        core::time_point now) const;

    /// The summary of the own zone for the other zones. Daemons that fail with
    /// most workers are left out of the evidence but not of the demand.
    evidence_report zone_summary(const core::service_id& service,
        std::uint64_t sequence, core::time_point now) const;

    bool operator==(const evidence_merge&) const = default;

private:
    /// A report and its time of receipt. Copies of the merge share the reports,
    /// since each report replaces the whole merge.
    struct received_report {
        std::shared_ptr<const evidence_report> report;
        core::time_point received;

        bool is_valid(core::time_point now) const
        {
            return now - this->received < report_validity;
        }

        bool operator==(const received_report& other) const
        {
            return *this->report == *other.report
                && this->received == other.received;
        }
    };

    bool is_expected(const evidence_report& report) const;

    core::zone_id own_zone;
    std::map<std::string, received_report> daemons;
    std::map<std::string, received_report> zones;
    std::map<core::zone_id, core::time_point> last_summaries;
};

} // namespace pollenward::fleet
