#pragma once

#include "core/ids.hpp"
#include "upstream/worker_placement.hpp"

#include <compare>
#include <map>
#include <utility>

namespace pollenward::upstream {

/// The availability zones of the deployment and this daemon's own.
class zone_map {
public:
    static zone_map make(
        core::zone_id own, std::map<core::zone_id, core::region_id> regions)
    {
        zone_map made;
        made.own = std::move(own);
        made.regions = std::move(regions);
        return made;
    }

    const core::zone_id& get_own() const { return this->own; }

    bool knows(const core::zone_id& zone) const
    {
        return this->regions.count(zone) != 0;
    }

    distance distance_to(const core::zone_id& zone) const
    {
        if (zone == this->own)
        {
            return distance::same_zone;
        }
        const auto mine = this->regions.find(this->own);
        const auto other = this->regions.find(zone);
        const bool is_same_region = mine != this->regions.end()
            && other != this->regions.end() && mine->second == other->second;
        return is_same_region ? distance::same_region : distance::other_region;
    }

    auto operator<=>(const zone_map&) const = default;

private:
    core::zone_id own;
    std::map<core::zone_id, core::region_id> regions;
};

} // namespace pollenward::upstream
