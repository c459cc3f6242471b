#pragma once

#include "core/ids.hpp"
#include "core/units.hpp"

#include <algorithm>
#include <compare>
#include <cstddef>
#include <utility>
#include <vector>

namespace pollenward::operators {

/// The configuration number that a daemon last reported as in force on it.
class daemon_version {
public:
    static daemon_version make(core::daemon_id id, core::version_number number)
    {
        daemon_version made;
        made.id = std::move(id);
        made.number = number;
        return made;
    }

    const core::daemon_id& get_id() const { return this->id; }
    core::version_number get_number() const { return this->number; }

    auto operator<=>(const daemon_version&) const = default;

private:
    core::daemon_id id;
    core::version_number number;
};

/// On how many daemons the newest configuration is in force, according to one
/// daemon's list of members.
class fleet_status {
public:
    /// `daemons` are the live members, including the reporting daemon. The
    /// version in force is the highest number reported.
    static fleet_status make(core::daemon_id reporter,
        core::version_number own_number, std::vector<daemon_version> daemons)
    {
        fleet_status made;
        made.reporter = std::move(reporter);
        made.in_force = own_number;
        for (const daemon_version& each : daemons)
        {
            made.in_force = std::max(made.in_force, each.get_number());
        }
        std::sort(daemons.begin(), daemons.end());
        made.daemon_count = daemons.size();
        for (daemon_version& each : daemons)
        {
            if (each.get_number() != made.in_force)
            {
                made.unconfirmed.push_back(std::move(each));
            }
        }
        return made;
    }

    /// A status that another process reported.
    static fleet_status make_from_counts(core::daemon_id reporter,
        core::version_number in_force, std::size_t confirmed,
        std::vector<daemon_version> unconfirmed)
    {
        fleet_status made;
        made.reporter = std::move(reporter);
        made.in_force = in_force;
        made.daemon_count = confirmed + unconfirmed.size();
        made.unconfirmed = std::move(unconfirmed);
        return made;
    }

    const core::daemon_id& get_reporter() const { return this->reporter; }
    core::version_number get_in_force() const { return this->in_force; }
    std::size_t get_daemon_count() const { return this->daemon_count; }

    std::size_t get_confirmed_count() const
    {
        return this->daemon_count - this->unconfirmed.size();
    }

    /// Daemons that have not confirmed the version in force, sorted by id,
    /// with the number that each last reported.
    const std::vector<daemon_version>& get_unconfirmed() const
    {
        return this->unconfirmed;
    }

    auto operator<=>(const fleet_status&) const = default;

private:
    core::daemon_id reporter;
    core::version_number in_force;
    std::size_t daemon_count = 0;
    std::vector<daemon_version> unconfirmed;
};

} // namespace pollenward::operators
