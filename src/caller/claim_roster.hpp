#pragma once

#include "caller/claim_partition.hpp"
#include "core/ids.hpp"
#include "core/units.hpp"

#include <compare>
#include <optional>
#include <utility>
#include <vector>

namespace pollenward::caller {

/// A daemon that may own claims.
class roster_member {
public:
    static roster_member make(core::daemon_id id, core::zone_id zone,
        core::incarnation_number incarnation)
    {
        roster_member made;
        made.id = std::move(id);
        made.zone = std::move(zone);
        made.incarnation = incarnation;
        return made;
    }

    const core::daemon_id& get_id() const { return this->id; }
    const core::zone_id& get_zone() const { return this->zone; }

    /// The incarnation that the daemon had when it was added.
    core::incarnation_number get_incarnation() const
    {
        return this->incarnation;
    }

    auto operator<=>(const roster_member&) const = default;

private:
    core::daemon_id id;
    core::zone_id zone;
    core::incarnation_number incarnation;
};

/// The change from one version of the roster to the next.
class roster_change {
public:
    static roster_change make(roster_member member, bool is_added)
    {
        roster_change made;
        made.member = std::move(member);
        made.added = is_added;
        return made;
    }

    const roster_member& get_member() const { return this->member; }
    bool is_added() const { return this->added; }

    auto operator<=>(const roster_change&) const = default;

private:
    roster_member member;
    bool added = false;
};

/// Largest number of changes that a roster contains. From them a daemon that
/// missed versions derives whether it owned a partition in each of them.
inline constexpr std::size_t max_roster_changes = 32;

/// The versioned list of daemons that own claims. It is stored in the platform
/// and changed by conditional update, one daemon per version, so that the
/// owners of an id in consecutive versions have at least one daemon in common.
class claim_roster {
public:
    /// The empty roster, version 0, which does not exist in the platform.
    claim_roster() = default;

    /// `changes` are the latest changes, the last one being that to `version`.
    static claim_roster make(core::version_number version,
        std::vector<roster_member> members, std::vector<roster_change> changes);

    core::version_number get_version() const { return this->version; }

    /// Sorted by id.
    const std::vector<roster_member>& get_members() const
    {
        return this->members;
    }

    const std::vector<roster_change>& get_changes() const
    {
        return this->changes;
    }

    /// The previous version, or nullopt if the last change is not known.
    std::optional<claim_roster> previous() const;

    std::optional<roster_member> find(const core::daemon_id& id) const;

    /// The owners of a partition: two daemons, in different zones if the
    /// roster has more than one zone. Fewer if the roster is smaller.
    std::vector<core::daemon_id> owners_of(claim_partition partition) const;

    /// The next version, with `member` added.
    claim_roster with_member(roster_member member) const;

    /// The next version, with the member `id` removed.
    claim_roster without_member(const core::daemon_id& id) const;

    auto operator<=>(const claim_roster&) const = default;

private:
    claim_roster with_change(roster_change change) const;

    core::version_number version;
    std::vector<roster_member> members;
    std::vector<roster_change> changes;
};

/// The roster that should follow `current` given the live daemons, or nullopt
/// if no change is needed. The first roster contains all live daemons; each
/// later one differs by one daemon, and dead daemons are removed before new
/// ones are added.
std::optional<claim_roster> next_roster(
    const claim_roster& current, const std::vector<roster_member>& live);

} // namespace pollenward::caller
