#pragma once

#include "fleet/member.hpp"

#include <compare>
#include <cstddef>
#include <utility>
#include <vector>

namespace pollenward::fleet {

/// Progress of a configuration version through the fleet.
class version_rollout {
public:
    /// Counts the live members on which `version` or a newer one is in force.
    static version_rollout make(
        core::version_number version, const std::vector<member>& members)
    {
        version_rollout made;
        made.version = version;
        for (const member& each : members)
        {
            if (each.is_live() && each.get_version_in_force() >= version)
            {
                ++made.confirmed;
            }
            else if (each.is_live())
            {
                made.unconfirmed.push_back(each.get_id());
            }
        }
        return made;
    }

    core::version_number get_version() const { return this->version; }
    std::size_t get_confirmed() const { return this->confirmed; }
    const std::vector<core::daemon_id>& get_unconfirmed() const
    {
        return this->unconfirmed;
    }
    bool is_complete() const { return this->unconfirmed.empty(); }

    auto operator<=>(const version_rollout&) const = default;

private:
    core::version_number version;
    std::size_t confirmed = 0;
    std::vector<core::daemon_id> unconfirmed;
};

} // namespace pollenward::fleet
