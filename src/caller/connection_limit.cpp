#include "caller/connection_limit.hpp"

#include "operators/event.hpp"

#include <algorithm>
#include <cstdint>
#include <limits>
#include <utility>

namespace pollenward::caller {

namespace {

    std::size_t add_refused(std::size_t max_served)
    {
        const std::size_t refused
            = std::max<std::size_t>(1, max_served / refused_share);
        const std::size_t most = std::numeric_limits<std::size_t>::max();
        return max_served + std::min(refused, most - max_served);
    }

} // namespace

connection_limit::connection_limit(
    connection_table& connections, std::size_t max_served)
    : connections(connections)
    , max_served(max_served)
    , max_open(add_refused(max_served))
{
}

bool connection_limit::has_capacity()
{
    const auto has_place = [this] {
        return this->connections.size() < this->max_served
            || this->connections.count_served() < this->max_served;
    };
    return has_place() || (this->evict(min_reading_time) && has_place());
}

bool connection_limit::has_room()
{
    const std::size_t open = this->connections.size();
    const bool is_full = open >= this->max_open;
    if (is_full)
    {
        this->evict(core::duration());
    }
    if (is_full && !this->was_full)
    {
        operators::write(operators::event::make("callers.connections_full")
                             .with("open", open));
    }
    this->was_full = is_full;
    return !is_full;
}

bool connection_limit::evict(core::duration min_time)
{
    constexpr std::uint64_t none = 0;
    constexpr std::size_t count = 32;
    return this->connections.evict(
        scarce_resource::connections, none, min_time, count);
}

} // namespace pollenward::caller
