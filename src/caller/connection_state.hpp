#pragma once

#include "core/runtime_clock.hpp"

#include <compare>
#include <cstdint>

namespace pollenward::caller {

/// What the server waits for on a connection.
enum class connection_phase {
    /// The first byte of a request.
    idle,
    /// The rest of a header.
    reading_header,
    /// The rest of a body that is held in the memory for small bodies.
    reading_small_body,
    /// The rest of any other body.
    reading_large_body,
    /// The answer, or that the caller has read it.
    running,
    /// That the caller closes its side after the last answer.
    lingering,
    /// The end of a connection that was chosen to be closed.
    leaving,
};

/// The phase of an open connection, and since when it lasts. For a request that
/// is being read, the time is that of its first byte.
class connection_state {
public:
    static connection_state make(
        std::uint64_t number, connection_phase phase, core::time_point since)
    {
        connection_state made;
        made.number = number;
        made.phase = phase;
        made.since = since;
        return made;
    }

    std::uint64_t get_number() const { return this->number; }
    connection_phase get_phase() const { return this->phase; }
    core::time_point get_since() const { return this->since; }

    bool is_reading() const
    {
        return this->phase == connection_phase::reading_header
            || this->phase == connection_phase::reading_small_body
            || this->phase == connection_phase::reading_large_body;
    }

    auto operator<=>(const connection_state&) const = default;

private:
    std::uint64_t number = 0;
    connection_phase phase = connection_phase::idle;
    core::time_point since;
};

} // namespace pollenward::caller
