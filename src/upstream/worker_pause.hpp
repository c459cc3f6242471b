#pragma once

#include "core/runtime_clock.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <optional>

namespace pollenward::upstream {

/// A longer pause is taken for a mistake, and a worker is not lost for longer.
inline constexpr std::chrono::hours longest_pause{ 1 };

/// The pause that a worker gets that asks for `seconds`; nothing if that is no
/// time.
inline std::optional<core::milliseconds> bounded_pause(double seconds)
{
    if (!(seconds >= 0))
    {
        return std::nullopt;
    }
    constexpr double ms_per_second = 1000;
    const double longest = std::chrono::duration<double>(longest_pause).count();
    return core::milliseconds(
        std::llround(std::min(seconds, longest) * ms_per_second));
}

} // namespace pollenward::upstream
