#pragma once

#include "core/runtime_clock.hpp"

#include <compare>
#include <cstdint>
#include <optional>
#include <random>
#include <vector>

namespace pollenward::bench {

using random_source = std::mt19937_64;

// Today's sizes, as the design page gives them.
inline constexpr int daemon_count = 44;
inline constexpr int zone_count = 6;
inline constexpr int zones_per_region = 2;
inline constexpr int worker_count = 19;
inline constexpr int slots_per_worker = 6;
inline constexpr core::milliseconds service_time(50);
inline constexpr double load = 0.5;
inline constexpr double floor_share = 0.7;
/// Progress limit of an attempt.
inline constexpr core::milliseconds attempt_limit(1000);
/// Share of requests that fail on healthy workers.
inline constexpr double background_failures = 0.002;

/// A daemon or a worker and where it is.
struct host {
    enum class role { daemon, worker };

    role what = role::daemon;
    int index = 0;

    int zone() const { return this->index % zone_count; }
    int region() const { return this->zone() / zones_per_region; }

    auto operator<=>(const host&) const = default;
};

/// A set of hosts; unset fields match all.
struct host_set {
    std::optional<host> one;
    std::optional<int> zone;
    std::optional<int> region;

    bool contains(const host& each) const
    {
        return (!this->one || *this->one == each)
            && (!this->zone || *this->zone == each.zone())
            && (!this->region || *this->region == each.region());
    }

    bool operator==(const host_set&) const = default;
};

/// A fault of the paths in one direction: a cut, or an added delay.
struct path_fault {
    host_set from;
    host_set to;
    core::duration start{};
    core::duration end{};
    std::optional<core::duration> added_delay;
};

enum class worker_fault { none, all, three_in_ten, silent, slow, flapping };

/// One run. Times count from its start.
struct scenario {
    std::uint64_t seed = 1;
    worker_fault fault = worker_fault::none;
    core::duration fault_start = core::seconds(3);
    core::duration length = core::seconds(23);
    std::vector<path_fault> paths;
    /// Time until an attempt on a cut path fails.
    core::duration cut_delay = attempt_limit;
    /// Whether homes send an ejection at once or with the next reply only.
    bool has_notices = true;
    double flood_factor = 1;
    core::duration flood_start{};
    core::duration flood_end{};

    /// One-way delay, or nothing if the message is lost.
    std::optional<core::duration> delay(
        const host& from, const host& to, core::duration now) const
    {
        core::duration total
            = std::chrono::microseconds(from.zone() == to.zone() ? 250
                    : from.region() == to.region()               ? 1500
                                                                 : 30000);
        for (const path_fault& each : this->paths)
        {
            if (now >= each.start && now < each.end && each.from.contains(from)
                && each.to.contains(to))
            {
                if (!each.added_delay)
                {
                    return std::nullopt;
                }
                total += *each.added_delay;
            }
        }
        return total;
    }
};

/// A run with a faulty worker, which starts to fail at a time of the seed's.
scenario make_fault_run(worker_fault fault, std::uint64_t seed);

/// A run without a faulty worker, with one-way cuts, slow paths and a flood as
/// the seed has it: each with a chance of a half, at least one cut.
scenario make_healthy_run(std::uint64_t seed);

} // namespace pollenward::bench
