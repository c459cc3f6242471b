#pragma once

#include "core/units.hpp"
#include "platform/read_result.hpp"

#include <string_view>

namespace pollenward::platform {

/// What reading back says about a conditional update without a response.
enum class write_fate {
    /// The value is in the store.
    took_effect,
    /// Another write came first; the lost one can no longer take effect.
    overtaken,
    /// The expected version still stands. The lost write may be on its way, so
    /// only the same conditional update may be sent again: at most one of the
    /// two can take effect.
    pending,
    /// The reading does not decide: no response, or an older state restored.
    undecided
};

/// Decides by a mark that the written value carries, such as a patch id.
/// `has_mark` says whether the value read contains it.
inline write_fate fate_by_mark(
    const read_result& read, core::version_number expected, bool has_mark)
{
    if (read.get_state() == read_state::unknown)
    {
        return write_fate::undecided;
    }
    const auto& object = read.get_object();
    if (object && has_mark)
    {
        return write_fate::took_effect;
    }
    const auto present
        = object ? object->get_version() : core::version_number(0);
    if (present == expected)
    {
        return write_fate::pending;
    }
    return present > expected ? write_fate::overtaken : write_fate::undecided;
}

/// Decides by the exact value, for objects that carry no mark. An equal value
/// counts only above the expected version: below or at it, it is an older one.
inline write_fate fate_by_value(const read_result& read,
    core::version_number expected, std::string_view value)
{
    const auto& object = read.get_object();
    const bool is_ours = object && object->get_version() > expected
        && object->get_value() == value;
    return fate_by_mark(read, expected, is_ours);
}

} // namespace pollenward::platform
