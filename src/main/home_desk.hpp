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

/// This daemon as the home of services: merges reports and passes on the words
/// about draining workers that come with them.
class home_desk {
public:
    home_desk(core::zone_id zone, std::uint64_t sequence_base)
        : homes(std::move(zone), sequence_base)
    {
    }

    fleet::verdict_reply on_report(
        const fleet::evidence_report& report, core::time_point now);

    /// The summary of this zone for the homes in other zones.
    fleet::evidence_report summary(
        const core::service_id& service, core::time_point now);

    /// Workers that daemons of any zone reported as draining.
    std::vector<core::worker_id> draining(
        const core::service_id& service, core::time_point now) const;

    fleet::service_aggregator& get_homes() { return this->homes; }

private:
    /// Latest word on each draining worker, by where it came from. Only words
    /// from daemons of the own zone go into the summary: passing on those of
    /// other zones would renew them for ever.
    struct drain_words {
        std::map<core::worker_id, core::time_point> own_zone;
        std::map<core::worker_id, core::time_point> other_zones;
    };

    void note_drains(
        const fleet::evidence_report& report, core::time_point now);

    fleet::service_aggregator homes;
    core::sharded_map<core::service_id, drain_words> words;
};

} // namespace pollenward::main
