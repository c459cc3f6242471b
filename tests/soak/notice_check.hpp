#pragma once

#include "soak/loss_check.hpp"
#include "soak/platform_worker.hpp"

#include <string>
#include <vector>

namespace pollenward::soak {

/// The bounds of the rules on what workers say of themselves.
struct notice_bounds {
    /// A daemon may send this long after it has passed on a notice.
    seconds drain{ 3 };
    /// Requests may reach a worker this long after it has asked for a pause,
    /// and later no more than `paused_requests` of one daemon.
    seconds pause_slack{ 0.5 };
    std::size_t paused_requests = 2;
};

/// Finds the requests that a daemon sent to a worker too long after the worker
/// had said that it leaves, or while it pauses. Restarts and freezes of the
/// daemon excuse them. One line for each.
std::vector<std::string> find_late_sends(const run_evidence& seen,
    const std::vector<arrival>& arrivals, const notice_bounds& bounds);

} // namespace pollenward::soak
