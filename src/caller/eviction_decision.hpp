#pragma once

#include "caller/connection_state.hpp"
#include "core/runtime_clock.hpp"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace pollenward::caller {

/// What a connection has to give up for others.
enum class scarce_resource { connections, small_bodies, large_bodies };
inline constexpr std::size_t scarce_resource_count = 3;

/// A request that is read for less time is not given up: callers within the
/// limits send theirs at once.
inline constexpr core::milliseconds min_reading_time{ 1000 };
/// In which a caller receives the last answer.
inline constexpr core::milliseconds min_lingering_time{ 250 };

/// The connections, other than `own_number`, that are closed to free the
/// resource, `count` at most: those whose requests have been incomplete for
/// longest. If connections are scarce, those that wait for the caller to close
/// its side go before them, and idle ones behind them, the oldest first. A
/// connection whose request runs is never chosen, nor one that has been reading
/// for less than `min_time` or idle for less than `min_reading_time`, whose
/// request may be on its way.
std::vector<std::uint64_t> choose_evictions(std::vector<connection_state> open,
    scarce_resource scarce, std::uint64_t own_number, core::time_point now,
    core::duration min_time, std::size_t count);

} // namespace pollenward::caller
