#pragma once

#include "core/endpoint.hpp"
#include "core/ids.hpp"
#include "core/units.hpp"

#include <compare>
#include <cstdint>
#include <optional>
#include <tuple>
#include <utility>

namespace pollenward::fleet {

/// Standing of a daemon in the fleet. At equal incarnation and sequence a
/// later state replaces an earlier one.
enum class member_state { alive, leaving, suspect, dead };

/// What the fleet knows of one daemon. Only the daemon itself raises its
/// incarnation and sequence; the others may only change the state.
class member {
public:
    static member make(core::daemon_id id, core::endpoint address,
        core::zone_id zone, core::incarnation_number incarnation)
    {
        member made;
        made.id = std::move(id);
        made.address = std::move(address);
        made.zone = std::move(zone);
        made.incarnation = incarnation;
        return made;
    }

    const core::daemon_id& get_id() const { return this->id; }
    /// Where the daemon listens for other daemons.
    const core::endpoint& get_address() const { return this->address; }
    const core::zone_id& get_zone() const { return this->zone; }
    core::incarnation_number get_incarnation() const
    {
        return this->incarnation;
    }
    std::uint64_t get_sequence() const { return this->sequence; }
    member_state get_state() const { return this->state; }
    /// Configuration version in force on the daemon; 0 before the first.
    core::version_number get_version_in_force() const
    {
        return this->version_in_force;
    }

    /// True for daemons that take part in homes, watchers and shares.
    bool is_live() const
    {
        return this->state == member_state::alive
            || this->state == member_state::suspect;
    }

    /// True if this record replaces `other`, a record of the same daemon.
    bool supersedes(const member& other) const
    {
        const auto order_of = [](const member& each) {
            return std::tuple(each.incarnation, each.sequence, each.state);
        };
        return order_of(*this) > order_of(other);
    }

    member with_state(member_state next) const
    {
        member changed = *this;
        changed.state = next;
        return changed;
    }

    member with_sequence(
        core::incarnation_number incarnation, std::uint64_t sequence) const
    {
        member changed = *this;
        changed.incarnation = incarnation;
        changed.sequence = sequence;
        return changed;
    }

    member with_version_in_force(core::version_number version) const
    {
        member changed = *this;
        changed.version_in_force = version;
        return changed;
    }

    /// This member in a record that supersedes `heard`, another daemon's
    /// record of it; nothing if `heard` is no later than this one and does not
    /// doubt that the member lives.
    std::optional<member> refuting(const member& heard) const
    {
        const auto theirs = std::pair(heard.incarnation, heard.sequence);
        const auto own = std::pair(this->incarnation, this->sequence);
        const bool is_doubt = heard.state == member_state::suspect
            || heard.state == member_state::dead;
        if (theirs < own || (theirs == own && !is_doubt))
        {
            return std::nullopt;
        }
        // A later incarnation means that the clock of this host ran backwards
        // over a restart.
        return heard.incarnation > this->incarnation
            ? this->with_sequence(
                heard.incarnation + core::incarnation_number(1), 1)
            : this->with_sequence(heard.incarnation, heard.sequence + 1);
    }

    auto operator<=>(const member&) const = default;

private:
    core::daemon_id id;
    core::endpoint address;
    core::zone_id zone;
    core::incarnation_number incarnation;
    std::uint64_t sequence = 0;
    member_state state = member_state::alive;
    core::version_number version_in_force;
};

} // namespace pollenward::fleet
