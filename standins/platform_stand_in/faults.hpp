#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace platform_stand_in {

/// The faults that are switched on.
struct faults {
    /// Connections are closed without a response and nothing is executed.
    bool is_out = false;
    /// Requests are executed, and no response is ever sent.
    bool is_one_way = false;
    std::chrono::milliseconds delay{ 0 };
    /// Writes left that are executed and whose response is not sent.
    std::uint64_t lost_responses = 0;
    /// Conditional updates left that another writer precedes.
    std::uint64_t racing_writes = 0;
};

/// Commands of one POST /control besides the faults themselves.
struct control {
    faults switched;
    bool is_snapshot = false;
    bool is_restore = false;
};

/// Reads {"outage": bool, "one_way": bool, "delay_ms": n, "lose_responses": n,
/// "racing_writes": n, "snapshot": true, "restore": true}. Keys that are
/// absent leave the present fault as it is. Nothing if the text has an unknown
/// key or a wrong type.
std::optional<control> read_control(
    const std::string& text, const faults& present);

} // namespace platform_stand_in
