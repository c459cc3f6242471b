#pragma once

#include "core/runtime_clock.hpp"
#include "core/units.hpp"

#include <algorithm>
#include <compare>
#include <cstdint>
#include <optional>

namespace pollenward::upstream {

/// The number of requests that one daemon may have in flight on one worker,
/// adapted to the worker's latencies and sheds by additive increase and
/// multiplicative decrease.
class concurrency_limit {
public:
    /// Starts at the worker's slots. `ceiling` is the number of connections
    /// that this daemon may open to the worker.
    static concurrency_limit make(core::slot_count slots, double ceiling);

    double get_limit() const { return this->limit; }

    /// After an answer; `in_flight` is the number of requests in flight when
    /// the request was sent.
    concurrency_limit with_answer(
        core::duration latency, int in_flight, core::time_point now) const;
    /// After a shed or a timeout.
    concurrency_limit with_shed(core::time_point now) const;

    auto operator<=>(const concurrency_limit&) const = default;

private:
    concurrency_limit with_decrease(core::time_point now) const;

    double limit = 1;
    double ceiling = 1;
    /// Moving averages of the latency in seconds over about 10 and 200 answers;
    /// 0 before the first answer.
    double recent_latency = 0;
    double usual_latency = 0;
    core::time_point next_decrease;
};

/// The slots that the aggregator of a service assigns to this daemon.
class fleet_share {
public:
    static fleet_share make(
        core::slot_count slots, bool is_overloaded, core::time_point expiry)
    {
        fleet_share made;
        made.slots = slots;
        made.overloaded = is_overloaded;
        made.expiry = expiry;
        return made;
    }

    core::slot_count get_slots() const { return this->slots; }
    /// Whether the fleet's demand for the service exceeds its slots.
    bool is_overloaded() const { return this->overloaded; }
    core::time_point get_expiry() const { return this->expiry; }

    auto operator<=>(const fleet_share&) const = default;

private:
    core::slot_count slots;
    bool overloaded = false;
    core::time_point expiry;
};

/// The share that each daemon may use without a report from an aggregator: all
/// daemons together then use about the slots of the service.
core::slot_count safe_share(
    core::slot_count service_slots, std::int64_t live_daemons);

/// Requests that this daemon may have in flight on a service: the learned limit
/// and, while the fleet is overloaded, at least the assigned share. Otherwise
/// the share is not applied, so that it does not throttle a burst at one
/// daemon. Without a valid share the safe share bounds the learned limit.
core::slot_count service_limit(double learned_limit,
    const std::optional<fleet_share>& share, core::slot_count safe,
    core::time_point now);

} // namespace pollenward::upstream
