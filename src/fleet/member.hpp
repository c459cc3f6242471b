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

/// State of a daemon in the fleet. At equal incarnation and sequence, a later
/// enumerator replaces an earlier one.
enum class member_state { alive, leaving, suspect, dead };

/// The record of one daemon in the member list. Only the daemon itself raises
/// its incarnation and sequence; the others may only change the state.
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
    /// Address on which the daemon listens for other daemons.
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

    /// Relative capacity of the daemon's host; 0 if it is not known.
    std::uint64_t get_capacity() const { return this->capacity; }

    /// True for daemons that can be aggregators and watchers and that get
    /// shares.
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

    member with_capacity(std::uint64_t announced) const
    {
        member changed = *this;
        changed.capacity = announced;
        return changed;
    }

    member with_version_in_force(core::version_number version) const
    {
        member changed = *this;
        changed.version_in_force = version;
        return changed;
    }

    /// A record of this member that supersedes `received`, another daemon's
    /// record of it. Nothing if `received` is no later than this one and does
    /// not report the member as suspect or dead.
    std::optional<member> refutation_of(const member& received) const
    {
        const auto received_order
            = std::pair(received.incarnation, received.sequence);
        const auto own_order = std::pair(this->incarnation, this->sequence);
        const bool is_failure_report = received.state == member_state::suspect
            || received.state == member_state::dead;
        if (received_order < own_order
            || (received_order == own_order && !is_failure_report))
        {
            return std::nullopt;
        }
        // A later incarnation means that the clock of this host went back
        // during a restart.
        return received.incarnation > this->incarnation
            ? this->with_sequence(
                received.incarnation + core::incarnation_number(1), 1)
            : this->with_sequence(received.incarnation, received.sequence + 1);
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
    std::uint64_t capacity = 0;
};

} // namespace pollenward::fleet
