#pragma once

#include "core/ids.hpp"
#include "core/units.hpp"

#include <compare>
#include <utility>

namespace pollenward::fleet {

/// Sent by a daemon that has a newer version of the configuration than the
/// receiver, which can then request its changes.
class configuration_offer {
public:
    static configuration_offer make(
        core::daemon_id sender, core::version_number number)
    {
        configuration_offer made;
        made.sender = std::move(sender);
        made.number = number;
        return made;
    }

    const core::daemon_id& get_sender() const { return this->sender; }
    core::version_number get_number() const { return this->number; }

    auto operator<=>(const configuration_offer&) const = default;

private:
    core::daemon_id sender;
    core::version_number number;
};

} // namespace pollenward::fleet
