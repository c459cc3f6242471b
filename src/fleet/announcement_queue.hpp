#pragma once

#include "core/ids.hpp"

#include <cstddef>
#include <map>
#include <vector>

namespace pollenward::fleet {

/// The members whose records are still to be piggybacked on pings, and how
/// often each. SWIM sends each change 3 log2(n) times, which reaches all
/// members with high probability.
class announcement_queue {
public:
    /// Adds a member's record, or restarts its count. `members` is n.
    void add(const core::daemon_id& id, std::size_t members);

    /// Removes a member that has left the member list.
    void remove(const core::daemon_id& id) { this->sends_left.erase(id); }

    /// At most `count` members, those sent least often first; each counts as
    /// sent once more.
    std::vector<core::daemon_id> take(std::size_t count);

private:
    std::map<core::daemon_id, std::size_t> sends_left;
};

} // namespace pollenward::fleet
