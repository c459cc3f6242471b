#pragma once

#include "core/ids.hpp"
#include "core/units.hpp"

#include <compare>
#include <cstdint>
#include <utility>

namespace pollenward::caller {

/// Identifies one claim operation of a daemon. The incarnation distinguishes it
/// from those before a restart, the number from those of repeated requests.
class claimant {
public:
    static claimant make(core::daemon_id daemon,
        core::incarnation_number incarnation, std::uint64_t number)
    {
        claimant made;
        made.daemon = std::move(daemon);
        made.incarnation = incarnation;
        made.number = number;
        return made;
    }

    const core::daemon_id& get_daemon() const { return this->daemon; }
    core::incarnation_number get_incarnation() const
    {
        return this->incarnation;
    }
    std::uint64_t get_number() const { return this->number; }

    auto operator<=>(const claimant&) const = default;

private:
    core::daemon_id daemon;
    core::incarnation_number incarnation;
    std::uint64_t number = 0;
};

} // namespace pollenward::caller
