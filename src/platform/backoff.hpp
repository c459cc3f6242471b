#pragma once

#include "core/runtime_clock.hpp"

#include <algorithm>
#include <compare>
#include <cstdint>

namespace pollenward::platform {

/// Delays between attempts: uniformly random below a ceiling that doubles
/// with each failure. Full jitter spreads the daemons after an outage.
class backoff {
public:
    static constexpr core::milliseconds first_ceiling{ 100 };
    static constexpr core::milliseconds last_ceiling{ 10000 };
    /// An immediate repetition would not be a pause at all.
    static constexpr core::milliseconds shortest_delay{ 1 };

    /// Delays stay below `longest`.
    static backoff make(
        std::uint64_t seed, core::milliseconds longest = last_ceiling)
    {
        return backoff(seed, longest, 0);
    }

    /// The state after one more failed attempt.
    backoff after_failure() const
    {
        return backoff(
            mix(this->state), this->longest, std::min(this->failures + 1, 32));
    }

    backoff after_success() const
    {
        return backoff(mix(this->state), this->longest, 0);
    }

    int get_failures() const { return this->failures; }

    /// Upper bound of the delay; zero before the first failure.
    core::milliseconds get_ceiling() const
    {
        if (this->failures == 0)
        {
            return core::milliseconds::zero();
        }
        // 100 ms doubled seven times exceeds the last ceiling.
        const int doublings = std::min(this->failures - 1, 7);
        return std::min(this->longest, first_ceiling * (1 << doublings));
    }

    /// Delay before the next attempt; zero before the first failure.
    core::milliseconds get_delay() const
    {
        if (this->failures == 0)
        {
            return core::milliseconds::zero();
        }
        const auto range
            = static_cast<std::uint64_t>(this->get_ceiling().count());
        const core::milliseconds drawn(
            static_cast<std::int64_t>(mix(this->state) % (range + 1)));
        return std::max(shortest_delay, drawn);
    }

    auto operator<=>(const backoff&) const = default;

private:
    backoff(std::uint64_t state, core::milliseconds longest, int failures)
        : state(state)
        , longest(longest)
        , failures(failures)
    {
    }

    /// One step of SplitMix64 (Steele et al. 2014).
    static std::uint64_t mix(std::uint64_t value)
    {
        value += 0x9e3779b97f4a7c15U;
        value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9U;
        value = (value ^ (value >> 27U)) * 0x94d049bb133111ebU;
        return value ^ (value >> 31U);
    }

    std::uint64_t state;
    core::milliseconds longest;
    int failures;
};

} // namespace pollenward::platform
