#pragma once

#include "core/ids.hpp"
#include "core/runtime_clock.hpp"
#include "core/sharded_map.hpp"
#include "fleet/zone_report.hpp"

#include <utility>
#include <vector>

namespace pollenward::fleet {

/// Merges the daemons' reports on their traffic to workers for one zone. A
/// daemon that is the aggregator by mistake, or for a moment only, does no
/// harm: its view only lacks some reports.
class zone_aggregator {
public:
    /// The traffic of a daemon without a report for this long is removed, so
    /// that a killed daemon puts no load on workers.
    static constexpr core::seconds max_source_age{ 3 };
    /// Upper bound for the number of answers in a service's latency sums.
    static constexpr double max_latency_count = 300;

    /// Merges a report and returns the traffic of the other daemons.
    zone_view on_report(const zone_report& report, core::time_point now);

private:
    using traffic_list
        = std::vector<std::pair<core::worker_id, upstream::worker_traffic>>;

    struct source {
        core::time_point received_at;
        traffic_list traffic;
    };

    std::vector<worker_summary> traffic_of_others(
        const core::daemon_id& receiver, core::time_point now);

    core::sharded_map<core::daemon_id, source> sources;
    core::sharded_map<core::service_id, upstream::latency_sums> latencies;
};

} // namespace pollenward::fleet
