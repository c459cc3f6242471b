#include "fleet/watcher.hpp"

#include "core/rendezvous.hpp"

#include <algorithm>

namespace pollenward::fleet {

std::vector<core::daemon_id> order_watchers(
    const core::zone_id& zone, const std::vector<member>& members)
{
    std::vector<core::daemon_id> candidates;
    for (const member& each : members)
    {
        if (each.is_live() && each.get_zone() == zone)
        {
            candidates.push_back(each.get_id());
        }
    }
    return core::rendezvous_top(
        "watcher/" + zone.str(), candidates, candidates.size());
}

bool is_watcher(const member& self, const std::vector<member>& members)
{
    const auto order = order_watchers(self.get_zone(), members);
    const auto end = order.begin()
        + static_cast<std::ptrdiff_t>(
            std::min(watchers_per_zone, order.size()));
    return std::find(order.begin(), end, self.get_id()) != end;
}

} // namespace pollenward::fleet
