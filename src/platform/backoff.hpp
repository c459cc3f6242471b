#pragma once

#include "core/runtime_clock.hpp"

#include <algorithm>
#include <compare>
#include <cstdint>

namespace pollenward::platform {

/// Delays between attempts: uniformly random below a ceiling that doubles with
/// each failure. The full jitter spreads the retries of the daemons after an
/// outage.
class backoff {
public:
    static constexpr core::milliseconds initial_ceiling{ 100 };
    static constexpr core::milliseconds max_ceiling{ 10000 };
    /// Prevents an immediate retry.
    static constexpr core::milliseconds min_delay{ 1 };

    /// No delay exceeds `max_delay`.
    static backoff make(
        std::uint64_t seed, core::milliseconds max_delay = max_ceiling)
    {
        return backoff(seed, max_delay, 0);
    }

    /// The state after one more failed attempt.
    backoff after_failure() const
    {
        return backoff(mix(this->state), this->max_delay,
            std::min(this->failures + 1, 32));
    }

    backoff after_success() const
    {
        return backoff(mix(this->state), this->max_delay, 0);
    }

    int get_failures() const { return this->failures; }

    /// Upper bound of the delay; zero before the first failure.
    core::milliseconds get_ceiling() const
    {
        if (this->failures == 0)
        {
            return core::milliseconds::zero();
        }
        // 100 ms doubled seven times exceeds max_ceiling.
        const int doublings = std::min(this->failures - 1, 7);
        return std::min(this->max_delay, initial_ceiling * (1 << doublings));
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
        return std::max(min_delay, drawn);
    }

    auto operator<=>(const backoff&) const = default;

private:
    backoff(std::uint64_t state, core::milliseconds max_delay, int failures)
        : state(state)
        , max_delay(max_delay)
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
    core::milliseconds max_delay;
    int failures;
};

} // namespace pollenward::platform
