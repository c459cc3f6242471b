#pragma once

#include "core/ids.hpp"

#include <cstddef>
#include <map>
#include <vector>

namespace pollenward::fleet {

/// The members whose records are still to be piggybacked, and how often each.
/// SWIM sends each change 3 log2(n) times, which reaches all members with high
/// probability.
class announcement_queue {
public:
    /// Starts the count of a member's record again.
    void add(const core::daemon_id& id, std::size_t members);

    /// Forgets a member that is no longer known.
    void remove(const core::daemon_id& id) { this->left.erase(id); }

    /// At most `count` members, those sent least often first; each counts as
    /// sent once more.
    std::vector<core::daemon_id> take(std::size_t count);

private:
    std::map<core::daemon_id, std::size_t> left;
};

} // namespace pollenward::fleet
