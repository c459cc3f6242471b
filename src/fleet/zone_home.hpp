#pragma once

#include "core/ids.hpp"
#include "core/runtime_clock.hpp"
#include "core/sharded_map.hpp"
#include "fleet/zone_report.hpp"

#include <utility>
#include <vector>

namespace pollenward::fleet {

/// Joins what the daemons of one zone sent to workers. A daemon that is home
/// by mistake, or for a moment only, does no harm: its view is just poorer.
class zone_home {
public:
    /// A daemon that was not heard for this long is not counted any more.
    static constexpr core::seconds source_age{ 3 };
    /// Answers that the latencies of a service rest on.
    static constexpr double most_latencies = 300;

    /// Takes a report and returns what the others told.
    zone_view on_report(const zone_report& report, core::time_point now);

private:
    using traffic_list
        = std::vector<std::pair<core::worker_id, upstream::worker_traffic>>;

    struct source {
        core::time_point heard_at;
        traffic_list traffic;
    };

    std::vector<worker_summary> others_of(
        const core::daemon_id& asker, core::time_point now);

    core::sharded_map<core::daemon_id, source> sources;
    core::sharded_map<core::service_id, upstream::latency_sums> latencies;
};

} // namespace pollenward::fleet
