#pragma once

#include "core/units.hpp"
#include "platform/read_result.hpp"

#include <string_view>

namespace pollenward::platform {

/// What reading the object back shows about a conditional update without a
/// response.
enum class lost_write_state {
    /// The update was applied.
    applied,
    /// Another write came first; the lost one can no longer be applied.
    superseded,
    /// The object still has the expected version. The lost write may still
    /// arrive, so only the same conditional update may be sent again: at most
    /// one of the two can be applied.
    pending,
    /// Not determined: the read got no response, or the store was restored from
    /// an older state.
    unknown
};

/// Determines the state by a marker in the written value, such as a patch id.
/// `has_marker` is whether the value read contains it.
inline lost_write_state resolve_by_marker(
    const read_result& read, core::version_number expected, bool has_marker)
{
    if (read.get_state() == read_state::unknown)
    {
        return lost_write_state::unknown;
    }
    const auto& object = read.get_object();
    if (object && has_marker)
    {
        return lost_write_state::applied;
    }
    const auto present
        = object ? object->get_version() : core::version_number(0);
    if (present == expected)
    {
        return lost_write_state::pending;
    }
    return present > expected ? lost_write_state::superseded
                              : lost_write_state::unknown;
}

/// Determines the state by the exact value, for objects without a marker. An
/// equal value counts only above the expected version: at or below it, it is an
/// older one.
inline lost_write_state resolve_by_value(const read_result& read,
    core::version_number expected, std::string_view value)
{
    const auto& object = read.get_object();
    const bool is_ours = object && object->get_version() > expected
        && object->get_value() == value;
    return resolve_by_marker(read, expected, is_ours);
}

} // namespace pollenward::platform
