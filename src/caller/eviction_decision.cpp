#include "caller/eviction_decision.hpp"

#include <algorithm>
#include <utility>

namespace pollenward::caller {

namespace {

    bool holds(const connection_state& state, scarce_resource scarce)
    {
        switch (scarce)
        {
        case scarce_resource::small_bodies:
            return state.get_phase() == connection_phase::reading_small_body;
        case scarce_resource::large_bodies:
            return state.get_phase() == connection_phase::reading_large_body;
        case scarce_resource::connections:
            break;
        }
        return state.is_reading();
    }

} // namespace

std::vector<std::uint64_t> choose_evictions(std::vector<connection_state> open,
    scarce_resource scarce, std::uint64_t own_number, core::time_point now,
    core::duration min_time, std::size_t count)
{
    const auto is_idle = [](const connection_state& each) {
        return each.get_phase() == connection_phase::idle;
    };
    std::erase_if(open, [&](const connection_state& each) {
        const bool may_free = holds(each, scarce)
            || (scarce == scarce_resource::connections && is_idle(each));
        return !may_free || each.get_number() == own_number
            || now - each.get_since() < (is_idle(each)
                       ? std::max<core::duration>(min_time, min_reading_time)
                       : min_time);
    });
    std::sort(
        open.begin(), open.end(), [&](const auto& left, const auto& right) {
            return std::pair(is_idle(left), left.get_since())
                < std::pair(is_idle(right), right.get_since());
        });
    std::vector<std::uint64_t> chosen;
    for (std::size_t i = 0; i < std::min(count, open.size()); ++i)
    {
        chosen.push_back(open[i].get_number());
    }
    return chosen;
}

} // namespace pollenward::caller
