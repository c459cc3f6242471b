#pragma once

#include "core/ids.hpp"
#include "core/sharded_map.hpp"
#include "fleet/evidence_report.hpp"
#include "fleet/service_aggregator.hpp"
#include "fleet/verdict_reply.hpp"

#include <map>
#include <string>
#include <vector>

namespace pollenward::main {

/// This daemon as the aggregator of services: merges evidence reports and
/// forwards the reports of draining workers in them.
class evidence_aggregator {
public:
    evidence_aggregator(core::zone_id zone, std::uint64_t sequence_base)
        : aggregator(std::move(zone), sequence_base)
    {
    }

    fleet::verdict_reply on_report(
        const fleet::evidence_report& report, core::time_point now);

    /// The summary of this zone for the aggregators in other zones.
    fleet::evidence_report summary(
        const core::service_id& service, core::time_point now);

    /// Workers that daemons of any zone reported as draining.
    std::vector<core::worker_id> draining(
        const core::service_id& service, core::time_point now) const;

    fleet::service_aggregator& get_aggregator() { return this->aggregator; }

private:
    /// Time of the latest report on each draining worker, by origin. Only
    /// reports from the own zone go into the summary: forwarding those of other
    /// zones would renew them for ever.
    struct drain_report_times {
        std::map<core::worker_id, core::time_point> own_zone;
        std::map<core::worker_id, core::time_point> other_zones;
    };

    void record_drains(
        const fleet::evidence_report& report, core::time_point now);

    fleet::service_aggregator aggregator;
    core::sharded_map<core::service_id, drain_report_times> drain_reports;
};

} // namespace pollenward::main
