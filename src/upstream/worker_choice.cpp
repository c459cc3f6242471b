#include "upstream/worker_choice.hpp"

#include <algorithm>
#include <limits>
#include <numeric>

namespace pollenward::upstream {

namespace {

    /// Draws an index with a probability proportional to its weight. `point` is
    /// a fraction of the total weight, from 0 to 1; `skipped` is never drawn.
    std::size_t draw(const worker_candidates& eligible, double point,
        std::optional<std::size_t> skipped)
    {
        double total = 0;
        for (std::size_t i = 0; i < eligible.size(); ++i)
        {
            total += i == skipped ? 0 : eligible[i].get_standing().get_weight();
        }
        double rest = point * total;
        std::size_t last = skipped == 0U ? 1 : 0;
        for (std::size_t i = 0; i < eligible.size(); ++i)
        {
            if (i == skipped)
            {
                continue;
            }
            last = i;
            rest -= eligible[i].get_standing().get_weight();
            if (rest < 0)
            {
                break;
            }
        }
        return last;
    }

    double to_fraction(std::uint64_t bits)
    {
        return static_cast<double>(bits & 0xffffffffU) / 4294967296.0;
    }

} // namespace

worker_candidate worker_candidate::make(
    usable_worker standing, int in_flight, double limit, double hinted_load)
{
    worker_candidate made;
    made.standing = std::move(standing);
    made.in_flight = in_flight;
    made.limit = std::max(limit, 1.0);
    made.hinted_load = hinted_load;
    return made;
}

worker_candidates eligible_workers(const worker_candidates& candidates,
    const std::vector<core::worker_id>& tried, bool is_idempotent)
{
    worker_candidates allowed;
    worker_candidates with_room;
    for (const worker_candidate& each : candidates)
    {
        const usable_worker& standing = each.get_standing();
        const auto& id = standing.get_worker().get_id();
        const bool is_on_trial = standing.get_state() == worker_state::trial;
        if (standing.get_worker().is_leaving()
            || standing.get_state() == worker_state::ejected
            || (is_on_trial && !is_idempotent)
            || std::find(tried.begin(), tried.end(), id) != tried.end())
        {
            continue;
        }
        allowed.push_back(each);
        if (each.has_room())
        {
            with_room.push_back(each);
        }
    }
    return with_room.empty() ? allowed : with_room;
}

std::size_t least_loaded_of_two::pick(
    const worker_candidates& eligible, std::uint64_t random) const
{
    if (eligible.size() < 2)
    {
        return 0;
    }
    const std::size_t first = draw(eligible, to_fraction(random), std::nullopt);
    const std::size_t second
        = draw(eligible, to_fraction(random >> 32U), first);
    const auto load_of = [&](std::size_t index) {
        return std::pair(
            eligible[index].get_next_load(), eligible[index].get_hinted_load());
    };
    return load_of(second) < load_of(first) ? second : first;
}

} // namespace pollenward::upstream
