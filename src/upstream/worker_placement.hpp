#pragma once

#include "core/rank.hpp"
#include "core/runtime_clock.hpp"
#include "upstream/listed_worker.hpp"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <utility>
#include <vector>

namespace pollenward::upstream {

/// How far a worker is from this daemon.
enum class zone_distance { same_zone, same_region, other_region };

/// A worker that may get a request, with its current estimates.
class placement_candidate {
public:
    /// `loss` is the probability that a request sent now is lost; `load` the
    /// requests that run or wait there; `unused_for` the time since any daemon
    /// of the zone sent it a request.
    static placement_candidate make(listed_worker who, zone_distance distance,
        double loss, double load, core::duration unused_for)
    {
        placement_candidate made;
        made.who = std::move(who);
        made.distance = distance;
        made.loss = loss;
        made.load = load;
        made.unused_for = unused_for;
        return made;
    }

    /// A copy for a worker that states a limit of its requests a second.
    placement_candidate with_rate_limit(bool is_limited) const
    {
        placement_candidate next = *this;
        next.limited = is_limited;
        return next;
    }

    const listed_worker& get_worker() const { return this->who; }
    zone_distance get_distance() const { return this->distance; }
    double get_loss() const { return this->loss; }
    double get_load() const { return this->load; }
    core::duration get_unused_for() const { return this->unused_for; }

    double get_slots() const
    {
        return static_cast<double>(this->who.get_slots().get());
    }

    /// Requests that this daemon may start there at once.
    double get_free_slots() const
    {
        const double free = std::max(0.0, this->get_slots() - this->load);
        return this->limited ? std::min(free, 1.0) : free;
    }

    auto operator<=>(const placement_candidate&) const = default;

private:
    listed_worker who;
    zone_distance distance = zone_distance::same_zone;
    double loss = 0;
    double load = 0;
    core::duration unused_for{};
    bool limited = false;
};

using placement_candidates = std::vector<placement_candidate>;

/// The costs that placement compares, as shares of the value of a request.
struct placement_costs {
    /// Traffic to another zone of the region, and to another region: what the
    /// platform charges for some kilobytes, and the delay.
    double other_zone = 0.06;
    double other_region = 0.35;
    /// Cost of a worker with all slots in use, scaled by its utilization: of
    /// two workers that are otherwise equal, the less busy one is preferred.
    double full_utilization = 0.05;
    /// A worker that was unused for this long is due for a trial request,
    /// unless its loss is too high: its estimate is out of date, and a healthy
    /// worker that gets no requests is lost capacity.
    core::milliseconds trial_after{ 1300 };
    /// Highest loss of a worker that gets a trial request, for requests that
    /// cannot and for those that can be repeated.
    double max_trial_loss = 0.27;
    double max_repeatable_trial_loss = 0.6;
    /// Share of the requests that go to workers that are due for a trial.
    double trial_share = 0.3;
    /// A worker that failed is due for a trial after this time whatever its
    /// loss, also for requests that cannot be repeated: its recovery shows only
    /// in a request.
    core::milliseconds failed_trial_after{ 2000 };
    /// An urgent request waits this much longer before it is such a trial, so
    /// that less urgent ones are risked first.
    core::milliseconds urgent_trial_delay{ 500 };
    /// Time over which the chance of such a trial grows. All daemons of a zone
    /// see at the same time that a worker is due.
    core::milliseconds trial_ramp{ 1000 };

    auto operator<=>(const placement_costs&) const = default;
};

/// What the placement of a request depends on.
struct placement_request {
    /// A request that is lost is sent to another worker.
    bool is_repeatable = false;
    core::rank rank = core::rank::background;
    /// Expected service time as a share of the target latency.
    double service_share = 0;
};

/// The expected cost of sending a request to a worker.
double placement_cost(const placement_candidate& candidate,
    const placement_request& request, const placement_costs& costs);

/// The index of the candidate that gets the request, or nothing if there are
/// no candidates. `random`, uniform over all values, breaks ties.
std::optional<std::size_t> choose_placement(
    const placement_candidates& candidates, const placement_request& request,
    const placement_costs& costs, std::uint64_t random);

} // namespace pollenward::upstream
