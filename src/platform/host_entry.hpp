#pragma once

#include "core/endpoint.hpp"
#include "core/ids.hpp"

#include <compare>
#include <string>
#include <utility>

namespace pollenward::platform {

/// One row of the platform's lagging list of live and leaving hosts. Workers
/// and daemons have the same format; `id` is that of the process.
class host_entry {
public:
    static host_entry make(std::string id, core::endpoint address,
        core::zone_id zone, bool is_leaving)
    {
        host_entry made;
        made.id = std::move(id);
        made.address = std::move(address);
        made.zone = std::move(zone);
        made.leaving = is_leaving;
        return made;
    }

    const std::string& get_id() const { return this->id; }
    const core::endpoint& get_address() const { return this->address; }
    const core::zone_id& get_zone() const { return this->zone; }
    bool is_leaving() const { return this->leaving; }

    auto operator<=>(const host_entry&) const = default;

private:
    std::string id;
    core::endpoint address;
    core::zone_id zone;
    bool leaving = false;
};

} // namespace pollenward::platform
