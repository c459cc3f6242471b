#pragma once

#include "soak/daemon_process.hpp"
#include "soak/request_record.hpp"

#include <compare>
#include <deque>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace pollenward::soak {

/// The bounds of the deployment that the checks need.
struct loss_bounds {
    seconds grace{ 6 };
    /// Time in which a machine, or the store, counts as disturbed after a
    /// disruption.
    seconds stable_window{ 4 };
    /// A connection that ends later than this after a request's last byte has
    /// lost the request, whether it was passed on or not.
    seconds loss_slack{ 0.2 };
    seconds configuration_apply{ 3 };
    /// A request that was sent later than this after SIGTERM has no excuse when
    /// it is cut at the end of the grace.
    seconds late_request{ 3 };
};

/// A time in which a daemon was disturbed by something unplanned.
struct disturbance {
    std::string daemon;
    std::string cause;
    seconds from{};
    seconds to{};
};

/// A time in which the soak itself stood still.
struct stall {
    seconds from{};
    seconds to{};
};

/// A broken promise.
struct violation {
    std::string rule;
    request_record request;
    std::string detail;
};

/// A version of the configuration gives all routes this much of their usual
/// timeouts.
struct timeout_change {
    seconds at{};
    double factor = 1;
};

/// What a run has seen.
struct run_evidence {
    std::vector<request_record> requests;
    /// By the id of the request.
    std::multimap<std::string, run_record> runs;
    const std::deque<daemon_process>& daemons;
    std::vector<disturbance> disturbances;
    std::vector<stall> stalls;
    /// In the order of their times, from the first version on.
    std::vector<timeout_change> timeouts;
};

/// What the checks have found.
struct verdict {
    std::vector<violation> violations;
    /// Lost requests that an exception of the rule excuses, by the exception.
    /// The cause of a disturbance stands for those that nothing else excuses.
    std::map<std::string, std::vector<violation>> excused;
};

/// Checks the requests against the rules on lost requests, on answers that
/// belong to another request, and on requests that run twice or were refused
/// although they ran.
verdict judge(const run_evidence& seen, const loss_bounds& bounds);

} // namespace pollenward::soak
