#pragma once

#include "core/ids.hpp"
#include "upstream/worker_placement.hpp"

#include <compare>
#include <map>
#include <utility>

namespace pollenward::upstream {

/// The availability zones of the deployment, with their regions, and the zone
/// of this daemon.
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

    bool contains(const core::zone_id& zone) const
    {
        return this->regions.count(zone) != 0;
    }

    zone_distance distance_to(const core::zone_id& zone) const
    {
        if (zone == this->own)
        {
            return zone_distance::same_zone;
        }
        const auto mine = this->regions.find(this->own);
        const auto other = this->regions.find(zone);
        const bool is_same_region = mine != this->regions.end()
            && other != this->regions.end() && mine->second == other->second;
        return is_same_region ? zone_distance::same_region
                              : zone_distance::other_region;
    }

    auto operator<=>(const zone_map&) const = default;

private:
    core::zone_id own;
    std::map<core::zone_id, core::region_id> regions;
};

} // namespace pollenward::upstream
