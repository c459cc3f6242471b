#include "fleet/announcement_queue.hpp"

#include <algorithm>
#include <bit>
#include <utility>

namespace pollenward::fleet {

void announcement_queue::add(const core::daemon_id& id, std::size_t members)
{
    this->sends_left[id]
        = 3 * static_cast<std::size_t>(std::bit_width(members + 1));
}

std::vector<core::daemon_id> announcement_queue::take(std::size_t count)
{
    std::vector<std::pair<std::size_t, core::daemon_id>> order;
    order.reserve(this->sends_left.size());
    for (const auto& [id, times] : this->sends_left)
    {
        order.emplace_back(times, id);
    }
    std::sort(order.rbegin(), order.rend());
    order.resize(std::min(count, order.size()));
    std::vector<core::daemon_id> taken;
    for (auto& [times, id] : order)
    {
        if (times <= 1)
        {
            this->sends_left.erase(id);
        }
        else
        {
            this->sends_left[id] = times - 1;
        }
        taken.push_back(std::move(id));
    }
    return taken;
}

} // namespace pollenward::fleet
