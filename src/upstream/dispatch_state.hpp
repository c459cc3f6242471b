#pragma once

#include "core/ids.hpp"
#include "core/rank.hpp"
#include "core/runtime_clock.hpp"
#include "core/sharded_map.hpp"
#include "core/units.hpp"
#include "upstream/attempt_result.hpp"
#include "upstream/drain_state.hpp"
#include "upstream/forward_request.hpp"
#include "upstream/retry_budget.hpp"
#include "upstream/service_dispatch_limits.hpp"
#include "upstream/shed_limiter.hpp"
#include "upstream/worker_choice.hpp"
#include "upstream/worker_load_state.hpp"

#include <array>
#include <memory>
#include <optional>
#include <vector>

namespace pollenward::upstream {

/// One flag per rank.
using rank_flags = std::array<bool, core::rank_count>;

/// The state that one daemon keeps across requests to choose workers and to
/// limit attempts and requests in flight.
class dispatch_state {
public:
    /// Shared instead of copied, since it is read for each request.
    using shared_limits = std::shared_ptr<const service_dispatch_limits>;

    void store_limits(
        const core::service_id& service, service_dispatch_limits limits);
    void store_share(const core::service_id& service, fleet_share share);
    /// Sets the ranks for which the admission queue has waiting requests of the
    /// same or a more urgent rank. Their requests are not retried meanwhile.
    void set_overloaded(
        const core::service_id& service, const rank_flags& overloaded);
    void record_drain(
        const core::worker_id& who, drain_source source, core::time_point now);
    void record_load(const core::worker_id& who, double hinted_load);

    /// Erases the state of workers that are not listed, but keeps counting the
    /// requests that are in flight on them.
    void erase_unlisted(const std::vector<core::worker_id>& listed);

    /// Workers that reported to this daemon that they are leaving.
    std::vector<core::worker_id> draining_workers(core::time_point now) const;

    int in_flight(const core::worker_id& who) const;
    core::slot_count limit(const core::service_id& service,
        const std::vector<usable_worker>& standings,
        core::time_point now) const;
    /// The stored limits, or the default ones; never null.
    shared_limits limits_of(const core::service_id& service) const;
    worker_candidates candidates(const core::service_id& service,
        const std::vector<usable_worker>& standings,
        core::time_point now) const;

    void count_request(const forward_request& request);
    /// Whether the request may be tried on another worker; if so, the attempt
    /// is charged to the budget.
    bool try_acquire_retry(const forward_request& request,
        attempt_result result, int attempts, core::time_point now);
    /// Charges the budget for a second exchange with the same worker; false if
    /// the budget does not allow it.
    bool try_acquire_resend(
        const forward_request& request, core::time_point now);

    /// Returns the number of requests in flight on the worker, including the
    /// new one.
    int start(const core::service_id& service, const core::worker_id& who);
    void finish(const core::service_id& service, const core::worker_id& who,
        attempt_result result, core::duration latency, int in_flight,
        core::time_point now);

private:
    using rank_budgets = std::array<retry_budget, core::rank_count>;

    bool is_overloaded(const core::service_id& service, core::rank rank) const;

    core::sharded_map<core::service_id, shared_limits> limits;
    core::sharded_map<core::service_id, fleet_share> shares;
    core::sharded_map<core::service_id, rank_flags> overloaded;
    core::sharded_map<core::service_id, shed_limiter> limiters;
    core::sharded_map<core::service_id, rank_budgets> budgets;
    core::sharded_map<core::worker_id, worker_load_state> activities;
    core::sharded_map<core::worker_id, drain_state> drains;
};

} // namespace pollenward::upstream
