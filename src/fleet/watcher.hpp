#pragma once

#include "fleet/member.hpp"

#include <cstddef>
#include <vector>

namespace pollenward::fleet {

/// Daemons per zone that watch the platform: one more than needed, so that
/// the loss of one delays nothing.
inline constexpr std::size_t watchers_per_zone = 2;

/// The live members of a zone in the order in which they watch the platform;
/// those after the first `watchers_per_zone` are successors.
std::vector<core::daemon_id> order_watchers(
    const core::zone_id& zone, const std::vector<member>& members);

/// True if the daemon must watch the platform.
bool is_watcher(const member& self, const std::vector<member>& members);

} // namespace pollenward::fleet
