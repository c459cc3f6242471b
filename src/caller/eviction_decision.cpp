#include "caller/eviction_decision.hpp"

#include <algorithm>
#include <optional>
#include <utility>

namespace pollenward::caller {

namespace {

    /// How long a connection keeps its phase at least; nothing if it does not
    /// hold the resource.
    std::optional<core::duration> min_time_of(const connection_state& state,
        scarce_resource scarce, core::duration min_time)
    {
        const bool is_any = scarce == scarce_resource::connections;
        switch (state.get_phase())
        {
        case connection_phase::idle:
            return is_any ? std::optional(
                       std::max<core::duration>(min_time, min_reading_time))
                          : std::nullopt;
        case connection_phase::reading_header:
            return is_any ? std::optional(min_time) : std::nullopt;
        case connection_phase::reading_small_body:
            return is_any || scarce == scarce_resource::small_bodies
                ? std::optional(min_time)
                : std::nullopt;
        case connection_phase::reading_large_body:
            return is_any || scarce == scarce_resource::large_bodies
                ? std::optional(min_time)
                : std::nullopt;
        case connection_phase::lingering:
            return is_any ? std::optional<core::duration>(min_lingering_time)
                          : std::nullopt;
        case connection_phase::leaving:
            // It may have been between two steps when it was chosen.
            return is_any ? std::optional<core::duration>(min_reading_time)
                          : std::nullopt;
        case connection_phase::running:
            break;
        }
        return std::nullopt;
    }

    int order_of(const connection_state& state)
    {
        switch (state.get_phase())
        {
        case connection_phase::lingering:
        case connection_phase::leaving:
            return 0;
        case connection_phase::idle:
            return 2;
        default:
            return 1;
        }
    }

} // namespace

std::vector<std::uint64_t> choose_evictions(std::vector<connection_state> open,
    scarce_resource scarce, std::uint64_t own_number, core::time_point now,
    core::duration min_time, std::size_t count)
{
    std::erase_if(open, [&](const connection_state& each) {
        const auto least = min_time_of(each, scarce, min_time);
        return !least || each.get_number() == own_number
            || now - each.get_since() < *least;
    });
    std::sort(
        open.begin(), open.end(), [](const auto& left, const auto& right) {
            return std::pair(order_of(left), left.get_since())
                < std::pair(order_of(right), right.get_since());
        });
    std::vector<std::uint64_t> chosen;
    for (std::size_t i = 0; i < std::min(count, open.size()); ++i)
    {
        chosen.push_back(open[i].get_number());
    }
    return chosen;
}

} // namespace pollenward::caller
