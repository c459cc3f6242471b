#pragma once

#include "core/ids.hpp"
#include "core/rendezvous.hpp"
#include "fleet/member.hpp"

#include <algorithm>
#include <compare>
#include <cstddef>
#include <map>
#include <optional>
#include <tuple>
#include <utility>
#include <vector>

namespace pollenward::fleet {

/// A live daemon and its zone.
class zone_daemon {
public:
    static zone_daemon make(core::daemon_id daemon, core::zone_id zone)
    {
        zone_daemon made;
        made.daemon = std::move(daemon);
        made.zone = std::move(zone);
        return made;
    }

    const core::daemon_id& get_daemon() const { return this->daemon; }
    const core::zone_id& get_zone() const { return this->zone; }

    auto operator<=>(const zone_daemon&) const = default;

private:
    core::daemon_id daemon;
    core::zone_id zone;
};

/// Selects the daemon that merges the evidence of the service for the zone: the
/// one with the highest rendezvous score among the zone's live daemons. Nothing
/// if the zone has none. Daemons with different lists of live daemons may
/// select different aggregators.
inline std::optional<core::daemon_id> select_aggregator(
    const core::service_id& service, const core::zone_id& zone,
    const std::vector<zone_daemon>& live)
{
    std::vector<core::daemon_id> candidates;
    for (const zone_daemon& each : live)
    {
        if (each.get_zone() == zone)
        {
            candidates.push_back(each.get_daemon());
        }
    }
    const auto top = core::rendezvous_top(service.str(), candidates, 1);
    return top.empty() ? std::nullopt : std::optional(top.front());
}

/// Selects the aggregators of the service, one for each zone with live daemons,
/// sorted by zone.
inline std::vector<zone_daemon> select_aggregators(
    const core::service_id& service, const std::vector<zone_daemon>& live)
{
    std::map<core::zone_id, std::vector<core::daemon_id>> by_zone;
    for (const zone_daemon& each : live)
    {
        by_zone[each.get_zone()].push_back(each.get_daemon());
    }
    std::vector<zone_daemon> found;
    found.reserve(by_zone.size());
    for (const auto& [zone, daemons] : by_zone)
    {
        found.push_back(zone_daemon::make(
            core::rendezvous_top(service.str(), daemons, 1).front(), zone));
    }
    return found;
}

/// Selects `count` daemons of one zone that read and merge for the others:
/// those with the most capacity, and among equal ones those with the highest
/// rendezvous scores. Each of them sends as much as all others receive.
inline std::vector<member> select_zone_aggregators(const core::zone_id& zone,
    std::vector<member> candidates, std::size_t count)
{
    const auto score_of = [&](const member& each) {
        return core::rendezvous_score(zone.str(), each.get_id().str());
    };
    std::sort(candidates.begin(), candidates.end(),
        [&](const member& left, const member& right) {
            return std::tuple(
                       right.get_capacity(), score_of(right), left.get_id())
                < std::tuple(
                    left.get_capacity(), score_of(left), right.get_id());
        });
    candidates.resize(std::min(count, candidates.size()));
    return candidates;
}

} // namespace pollenward::fleet
