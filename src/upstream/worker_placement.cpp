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

    /// The worker of this zone that was unused for longest, among those that
    /// are due for a trial.
    std::optional<std::size_t> find_due_trial(
        const placement_candidates& candidates, bool is_repeatable,
        const placement_costs& costs)
    {
        const double max_loss = is_repeatable ? costs.max_repeatable_trial_loss
                                              : costs.max_trial_loss;
        std::optional<std::size_t> longest;
        for (std::size_t i = 0; i < candidates.size(); ++i)
        {
            const placement_candidate& each = candidates[i];
            const bool is_due = each.get_distance() == zone_distance::same_zone
                && each.get_unused_for() >= costs.trial_after
                && each.get_loss() <= max_loss && each.get_free_slots() >= 1;
            if (is_due
                && (!longest
                    || each.get_unused_for()
                        > candidates[*longest].get_unused_for()))
            {
                longest = i;
            }
        }
        return longest;
    }

} // namespace

double placement_cost(const placement_candidate& candidate, bool is_repeatable,
    double service_share, const placement_costs& costs)
{
    const double slots = std::max(candidate.get_slots(), 1.0);
    const double waiting
        = std::max(0.0, candidate.get_load() + 1 - slots) / slots;
    const double loss
        = candidate.get_loss() * (is_repeatable ? repeatable_loss_share : 1.0);
    const double warm_up
        = candidate.get_worker().get_warm_up_left() > core::milliseconds::zero()
        ? service_share
        : 0.0;
    return loss + waiting * service_share + warm_up
        + costs.full_utilization * std::min(1.0, candidate.get_load() / slots)
        + distance_cost(candidate.get_distance(), costs);
}

std::optional<std::size_t> choose_placement(
    const placement_candidates& candidates, bool is_repeatable,
    double service_share, const placement_costs& costs, std::uint64_t random)
{
    // Random cost that is added to each candidate. Smaller differences are
    // noise, and without it all daemons of a zone would choose the same worker.
    constexpr double tie_width = 0.01;
    const auto trial = find_due_trial(candidates, is_repeatable, costs);
    if (trial && jitter(random, candidates.size()) < costs.trial_share)
    {
        return trial;
    }
    std::optional<std::size_t> best;
    double min_cost = std::numeric_limits<double>::infinity();
    for (std::size_t i = 0; i < candidates.size(); ++i)
    {
        const double cost
            = placement_cost(candidates[i], is_repeatable, service_share, costs)
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
