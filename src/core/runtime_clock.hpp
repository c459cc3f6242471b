#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>

namespace pollenward::core {

/// The clock of the runtime's timers. It follows the steady clock; a test can
/// pause it, and a paused clock moves only by advance().
class runtime_clock {
public:
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<runtime_clock>;
    static constexpr bool is_steady = true;

    static time_point now() noexcept
    {
        const std::int64_t fixed = paused_at.load();
        if (fixed != not_paused)
        {
            return time_point(duration(fixed));
        }
        return time_point(duration(steady_now() + offset.load()));
    }

    static bool is_paused() noexcept { return paused_at.load() != not_paused; }

    /// Stops the clock at its present time. For tests.
    static void pause() noexcept
    {
        paused_at.store(now().time_since_epoch().count());
    }

    /// Moves a paused clock forward. For tests; see wake_timers() in
    /// core/runtime_timer.hpp for timers that are already waiting.
    static void advance(duration step) noexcept
    {
        paused_at.fetch_add(step.count());
    }

    /// Resumes a paused clock from the time at which it was paused.
    static void resume() noexcept
    {
        const std::int64_t fixed = paused_at.load();
        if (fixed != not_paused)
        {
            offset.store(fixed - steady_now());
            paused_at.store(not_paused);
        }
    }

private:
    static constexpr std::int64_t not_paused = -1;

    static std::int64_t steady_now() noexcept
    {
        return std::chrono::duration_cast<duration>(
            std::chrono::steady_clock::now().time_since_epoch())
            .count();
    }

    static inline std::atomic<std::int64_t> paused_at{ not_paused };
    static inline std::atomic<std::int64_t> offset{ 0 };
};

using time_point = runtime_clock::time_point;
using duration = runtime_clock::duration;
using milliseconds = std::chrono::milliseconds;
using seconds = std::chrono::seconds;

/// Seconds as a real number, for rates and decay.
inline double to_seconds(duration value)
{
    return std::chrono::duration<double>(value).count();
}

} // namespace pollenward::core
