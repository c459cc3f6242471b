#include "upstream/worker_placement.hpp"

#include <algorithm>
#include <limits>

namespace pollenward::upstream {

namespace {

    /// Share of a request's value that is lost with its first send if it can
    /// be repeated: the second send saves the rest, but it comes late and costs
    /// capacity.
    constexpr double repeatable_loss_share = 0.35;

    double distance_cost(zone_distance distance, const placement_costs& costs)
    {
        switch (distance)
        {
        case zone_distance::same_zone:
            return 0;
        case zone_distance::same_region:
            return costs.other_zone;
        case zone_distance::other_region:
            break;
        }
        return costs.other_region;
    }

    /// A number in [0, 1) for each candidate, from one random number.
    double jitter(std::uint64_t random, std::size_t index)
    {
        std::uint64_t mixed = random + index * 0x9e3779b97f4a7c15U;
        mixed = (mixed ^ (mixed >> 30U)) * 0xbf58476d1ce4e5b9U;
        mixed ^= mixed >> 27U;
        return static_cast<double>(mixed & 0xffffU) / 65536.0;
    }

    /// How likely a trial of the worker is, from 0 to 1.
    double trial_weight(const placement_candidate& candidate,
        const placement_request& request, const placement_costs& costs)
    {
        if (candidate.get_distance() != zone_distance::same_zone
            || candidate.get_free_slots() < 1)
        {
            return 0;
        }
        const double max_loss = request.is_repeatable
            ? costs.max_repeatable_trial_loss
            : costs.max_trial_loss;
        const auto unused_for = candidate.get_unused_for();
        if (candidate.get_loss() <= max_loss)
        {
            return unused_for >= costs.trial_after ? 1 : 0;
        }
        const auto delay = request.rank == core::rank::urgent
            ? costs.urgent_trial_delay
            : core::milliseconds::zero();
        const double overdue
            = core::to_seconds(unused_for - costs.failed_trial_after - delay);
        return std::clamp(
            overdue / core::to_seconds(core::duration(costs.trial_ramp)), 0.0,
            1.0);
    }

    /// One of the workers of this zone that are due for a trial, if the request
    /// is to be one. The longest unused one would get a trial from each daemon
    /// of the zone at once.
    std::optional<std::size_t> choose_trial(
        const placement_candidates& candidates,
        const placement_request& request, const placement_costs& costs,
        std::uint64_t random)
    {
        double total = 0;
        for (const placement_candidate& each : candidates)
        {
            total += trial_weight(each, request, costs);
        }
        if (jitter(random, candidates.size())
            >= costs.trial_share * std::min(total, 1.0))
        {
            return std::nullopt;
        }
        double rest = total * jitter(random, candidates.size() + 1);
        std::optional<std::size_t> chosen;
        for (std::size_t i = 0; i < candidates.size() && rest >= 0; ++i)
        {
            const double weight = trial_weight(candidates[i], request, costs);
            rest -= weight;
            chosen = weight > 0 ? std::optional(i) : chosen;
        }
        return chosen;
    }

} // namespace

double placement_cost(const placement_candidate& candidate,
    const placement_request& request, const placement_costs& costs)
{
    const double slots = std::max(candidate.get_slots(), 1.0);
    const double waiting
        = std::max(0.0, candidate.get_load() + 1 - slots) / slots;
    const double loss = candidate.get_loss()
        * (request.is_repeatable ? repeatable_loss_share : 1.0);
    const double warm_up
        = candidate.get_worker().get_warm_up_left() > core::milliseconds::zero()
        ? request.service_share
        : 0.0;
    return loss + waiting * request.service_share + warm_up
        + costs.full_utilization * std::min(1.0, candidate.get_load() / slots)
        + distance_cost(candidate.get_distance(), costs);
}

std::optional<std::size_t> choose_placement(
    const placement_candidates& candidates, const placement_request& request,
    const placement_costs& costs, std::uint64_t random)
{
    // Random cost that is added to each candidate. Smaller differences are
    // noise, and without it all daemons of a zone would choose the same worker.
    constexpr double tie_width = 0.01;
    if (const auto trial = choose_trial(candidates, request, costs, random))
    {
        return trial;
    }
    std::optional<std::size_t> best;
    double min_cost = std::numeric_limits<double>::infinity();
    for (std::size_t i = 0; i < candidates.size(); ++i)
    {
        const double cost = placement_cost(candidates[i], request, costs)
            + tie_width * jitter(random, i);
        if (cost < min_cost)
        {
            min_cost = cost;
            best = i;
        }
    }
    return best;
}

} // namespace pollenward::upstream
