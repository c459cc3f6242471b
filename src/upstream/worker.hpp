#pragma once

#include "core/endpoint.hpp"
#include "core/ids.hpp"

#include <compare>
#include <utility>

namespace pollenward::upstream {

/// A worker from the platform's host list.
class worker {
public:
    static worker make(core::worker_id id, core::endpoint address,
        core::zone_id zone, bool is_leaving)
    {
        worker made;
        made.id = std::move(id);
        made.address = std::move(address);
        made.zone = std::move(zone);
        made.leaving = is_leaving;
        return made;
    }

    const core::worker_id& get_id() const { return this->id; }
    const core::endpoint& get_address() const { return this->address; }
    const core::zone_id& get_zone() const { return this->zone; }
    bool is_leaving() const { return this->leaving; }

    auto operator<=>(const worker&) const = default;

private:
    core::worker_id id;
    core::endpoint address;
    core::zone_id zone;
    bool leaving = false;
};

} // namespace pollenward::upstream
