#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace platform_stand_in {

/// The active faults.
struct faults {
    /// Requests are not executed; their connections are closed without a
    /// response.
    bool has_outage = false;
    /// Requests are executed, but no response is sent.
    bool is_one_way = false;
    std::chrono::milliseconds delay{ 0 };
    /// Number of next writes that are executed without a response.
    std::uint64_t lost_responses = 0;
    /// Number of next conditional writes that a write by another writer
    /// precedes.
    std::uint64_t racing_writes = 0;
};

/// Content of one POST /control: the new faults, and commands.
struct control_command {
    faults wanted_faults;
    bool takes_snapshot = false;
    bool restores_snapshot = false;
};

/// Reads {"outage": bool, "one_way": bool, "delay_ms": n, "lose_responses": n,
/// "racing_writes": n, "snapshot": true, "restore": true}. Faults whose key is
/// absent keep their current value. Returns nothing on an unknown key or a
/// value of the wrong type.
std::optional<control_command> read_control_command(
    const std::string& text, const faults& current);

} // namespace platform_stand_in
