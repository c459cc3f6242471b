#pragma once

#include "fleet/member.hpp"

#include <algorithm>
#include <optional>
#include <vector>

namespace pollenward::fleet {

using member_list = std::vector<member>;

/// Ids of the members that can be aggregators and watchers.
inline std::vector<core::daemon_id> live_ids(const member_list& all)
{
    std::vector<core::daemon_id> live;
    for (const member& each : all)
    {
        if (each.is_live())
        {
            live.push_back(each.get_id());
        }
    }
    return live;
}

inline std::optional<member> find_member(
    const member_list& all, const core::daemon_id& id)
{
    const auto found = std::find_if(all.begin(), all.end(),
        [&](const member& each) { return each.get_id() == id; });
    return found == all.end() ? std::nullopt : std::optional(*found);
}

} // namespace pollenward::fleet
