#pragma once

#include "fleet/message.hpp"

#include <compare>
#include <utility>

namespace pollenward::fleet {

/// A ping or ping request that the membership returns for sending, with the
/// member whose liveness it checks.
class probe {
public:
    /// A ping to a member, or to an address without a known member if `target`
    /// is empty.
    static probe direct(
        core::daemon_id target, core::endpoint address, ping content)
    {
        probe made;
        made.target = std::move(target);
        made.address = std::move(address);
        made.content = std::move(content);
        return made;
    }

    /// A ping request for the target to the daemon at `address`.
    static probe indirect(core::endpoint address, ping_request content)
    {
        probe made;
        made.target = content.get_target();
        made.address = std::move(address);
        made.content = std::move(content);
        return made;
    }

    const core::daemon_id& get_target() const { return this->target; }
    const core::endpoint& get_address() const { return this->address; }
    const message& get_content() const { return this->content; }

    bool is_indirect() const
    {
        return std::holds_alternative<ping_request>(this->content);
    }

    /// True if the reply carries all members.
    bool wants_all() const
    {
        const ping* sent = std::get_if<ping>(&this->content);
        return sent != nullptr && sent->wants_all();
    }

    auto operator<=>(const probe&) const = default;

private:
    core::daemon_id target;
    core::endpoint address;
    message content;
};

using probes = std::vector<probe>;

} // namespace pollenward::fleet
