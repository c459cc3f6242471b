#pragma once

#include "core/rank.hpp"
#include "core/runtime_clock.hpp"
#include "operators/service_settings.hpp"

#include <algorithm>
#include <array>
#include <cstdint>
#include <vector>

namespace pollenward::bench {

inline constexpr int zone_count = 6;
inline constexpr int slots_per_worker = 6;
inline constexpr int queue_per_worker = 2;
inline constexpr core::milliseconds service_time(50);
inline constexpr core::milliseconds deadline(1000);
/// Minimum shares of the ranks, an example for operators: the design page gives
/// no figures for them.
inline constexpr operators::rank_shares minimum_shares = { 0, 0.2, 0.1 };
inline constexpr int small_accounts = 20;

/// Number of request classes that are counted separately: the ranks, and in
/// scenario (d) the small accounts of the background rank.
inline constexpr std::size_t class_count = core::rank_count + 1;

/// Load of each rank as a multiple of the service's capacity.
using rank_loads = std::array<double, core::rank_count>;

struct flood_phase {
    rank_loads loads{};
    core::duration length{};
    bool is_measured = false;
};

/// Parameters of one run. Times count from its start.
struct flood_plan {
    int daemons = 44;
    int workers = 19;
    /// Whether the network delays messages by zone and region.
    bool has_distance = true;
    bool has_small_accounts = false;
    std::uint64_t seed = 1;
    std::vector<flood_phase> phases;

    double capacity() const
    {
        return this->workers * slots_per_worker
            / core::to_seconds(service_time);
    }

    core::duration delay(int daemon, int worker) const
    {
        const int from = daemon % zone_count;
        const int to = worker % zone_count;
        const bool is_same_region = from / 2 == to / 2;
        return !this->has_distance || from == to
            ? std::chrono::microseconds(250)
            : std::chrono::microseconds(is_same_region ? 1500 : 30000);
    }
};

struct class_counts {
    std::int64_t offered = 0;
    std::int64_t in_time = 0;
    std::int64_t refused_at_once = 0;
    std::int64_t sent = 0;
    std::int64_t attempts = 0;
};

using flood_counts = std::array<class_counts, class_count>;

} // namespace pollenward::bench
