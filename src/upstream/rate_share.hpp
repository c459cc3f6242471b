#pragma once

#include "core/ids.hpp"
#include "core/rendezvous.hpp"
#include "core/runtime_clock.hpp"

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <optional>
#include <vector>

namespace pollenward::upstream {

/// The time between two sends of `self` to a worker that accepts `per_second`
/// requests a second from all daemons together; nothing if others send to it.
/// `senders` are the daemons that may be chosen, those of the worker's zone.
///
/// Each chosen daemon keeps to an equal part without exchanging messages. All
/// of them may send at once, so their number is limited to the excess over the
/// limit that a worker can be expected to bear.
inline std::optional<core::duration> send_interval(
    const core::worker_id& worker, double per_second,
    const core::daemon_id& self, const std::vector<core::daemon_id>& senders)
{
    constexpr double burst = 4;
    if (!(per_second > 0) || senders.empty())
    {
        return std::nullopt;
    }
    const double most = std::min(
        static_cast<double>(senders.size()), std::floor(per_second) + burst);
    const auto chosen = core::rendezvous_top(
        worker.str(), senders, static_cast<std::size_t>(most));
    if (std::find(chosen.begin(), chosen.end(), self) == chosen.end())
    {
        return std::nullopt;
    }
    return std::chrono::duration_cast<core::duration>(
        std::chrono::duration<double>(
            static_cast<double>(chosen.size()) / per_second));
}

} // namespace pollenward::upstream
