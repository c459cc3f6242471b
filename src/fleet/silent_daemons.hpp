#pragma once

#include "core/ids.hpp"
#include "core/runtime_clock.hpp"
#include "fleet/member.hpp"

#include <algorithm>
#include <map>
#include <vector>

namespace pollenward::fleet {

/// The daemons that this one checks and that do not reply. Not thread-safe.
class silent_daemons {
public:
    /// How long a daemon must be silent to be taken as gone. Each removal
    /// doubles it, since a daemon that is only out of this one's reach
    /// registers again.
    static constexpr core::seconds removal_delay{ 15 };
    static constexpr core::seconds max_removal_delay{ 600 };
    /// One lost message must not count as a long silence.
    static constexpr int min_failures = 3;
    static constexpr core::seconds memory_time{ 3600 };

    void on_reply(const core::daemon_id& who) { this->entries.erase(who); }

    void on_no_reply(const core::daemon_id& who, core::time_point now)
    {
        auto& entry = this->entries[who];
        if (entry.failures == 0)
        {
            entry.silent_since = now;
        }
        ++entry.failures;
        entry.last_at = now;
    }

    bool is_gone(const core::daemon_id& who, core::time_point now) const
    {
        const auto found = this->entries.find(who);
        return found != this->entries.end()
            && found->second.failures >= min_failures
            && now - found->second.silent_since >= found->second.delay;
    }

    void on_removed(const core::daemon_id& who)
    {
        auto& entry = this->entries[who];
        entry.failures = 0;
        entry.delay = std::min(entry.delay * 2, max_removal_delay);
    }

    /// This daemon reaches no other one, so that silence shows nothing.
    void on_isolation()
    {
        for (auto& [who, entry] : this->entries)
        {
            entry.failures = 0;
        }
    }

    void expire(core::time_point now)
    {
        std::erase_if(this->entries, [&](const auto& each) {
            return now - each.second.last_at >= memory_time;
        });
    }

private:
    struct silence {
        core::time_point silent_since;
        core::time_point last_at;
        int failures = 0;
        core::seconds delay = removal_delay;
    };

    std::map<core::daemon_id, silence> entries;
};

/// The other daemons of the zone in the order in which `self` checks them: a
/// ring by id, so that each daemon has one checker while all are alive.
inline std::vector<member> ring_after(
    const member& self, const std::vector<member>& members)
{
    std::vector<member> ring;
    for (const member& each : members)
    {
        if (each.get_zone() == self.get_zone()
            && each.get_id() != self.get_id())
        {
            ring.push_back(each);
        }
    }
    std::sort(
        ring.begin(), ring.end(), [&](const member& left, const member& right) {
            const bool is_left_later = left.get_id() > self.get_id();
            const bool is_right_later = right.get_id() > self.get_id();
            return is_left_later != is_right_later
                ? is_left_later
                : left.get_id() < right.get_id();
        });
    return ring;
}

} // namespace pollenward::fleet
