#pragma once

#include "caller/connection_state.hpp"
#include "core/runtime_clock.hpp"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace pollenward::caller {

/// What a connection has to give up for others.
enum class scarce_resource { connections, small_bodies, large_bodies };

/// A request that is read for less time is not given up: callers within the
/// limits send theirs at once.
inline constexpr core::milliseconds min_reading_time{ 1000 };

/// The connections, other than `own_number`, that are closed to free the
/// resource, `count` at most: those whose requests have been incomplete for
/// longest, then, if connections are scarce, those that have been idle for
/// longest. A connection whose request runs is never chosen, nor one that has
/// been reading for less than `min_time` or idle for less than
/// `min_reading_time`, whose request may be on its way.
std::vector<std::uint64_t> choose_evictions(std::vector<connection_state> open,
    scarce_resource scarce, std::uint64_t own_number, core::time_point now,
    core::duration min_time, std::size_t count);

} // namespace pollenward::caller
