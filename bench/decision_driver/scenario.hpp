#pragma once

#include "core/runtime_clock.hpp"

#include <compare>
#include <cstdint>
#include <optional>
#include <random>
#include <vector>

namespace pollenward::bench {

using random_source = std::mt19937_64;

// Current sizes from the design page.
inline constexpr int daemon_count = 44;
inline constexpr int zone_count = 6;
inline constexpr int zones_per_region = 2;
inline constexpr int worker_count = 19;
inline constexpr int slots_per_worker = 6;
inline constexpr core::milliseconds service_time(50);
inline constexpr double load = 0.5;
inline constexpr double floor_share = 0.7;
/// Time without progress after which an attempt fails.
inline constexpr core::milliseconds attempt_limit(1000);
/// Share of requests that fail on healthy workers.
inline constexpr double background_failure_share = 0.002;

/// A daemon or a worker, with its zone and region.
struct host {
    enum class role { daemon, worker };

    role kind = role::daemon;
    int index = 0;

    int zone() const { return this->index % zone_count; }
    int region() const { return this->zone() / zones_per_region; }

    auto operator<=>(const host&) const = default;
};

/// A set of hosts. Unset fields match all hosts.
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

/// A fault of network paths in one direction: a cut, or an added delay.
struct path_fault {
    host_set from;
    host_set to;
    core::duration start{};
    core::duration end{};
    std::optional<core::duration> added_delay;
};

enum class worker_fault { none, all, three_in_ten, silent, slow, flapping };

/// Parameters of one run. Times count from its start.
struct scenario {
    std::uint64_t seed = 1;
    worker_fault fault = worker_fault::none;
    core::duration fault_start = core::seconds(3);
    core::duration length = core::seconds(23);
    std::vector<path_fault> paths;
    /// Time until an attempt on a cut path fails.
    core::duration cut_delay = attempt_limit;
    /// Whether aggregators send an ejection at once, or only with the next
    /// reply.
    bool has_notices = true;
    double flood_factor = 1;
    core::duration flood_start{};
    core::duration flood_end{};

    /// Returns the one-way delay, or nothing if the message is lost.
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

/// Makes a run with one worker that fails from a time drawn from the seed.
scenario make_fault_run(worker_fault fault, std::uint64_t seed);

/// Makes a run without a faulty worker, drawn from the seed: one or two one-way
/// cuts, and a slow path and a flood with probability 1/2 each.
scenario make_healthy_run(std::uint64_t seed);

} // namespace pollenward::bench
