#pragma once

#include "core/error.hpp"
#include "core/ids.hpp"
#include "core/runtime_clock.hpp"
#include "operators/kind_settings.hpp"

#include <optional>
#include <string_view>

namespace pollenward::caller {

inline constexpr std::size_t max_request_id_length = 128;
inline constexpr std::size_t max_account_length = 128;

/// The request id of a caller's header: 1 to 128 visible ASCII characters.
std::optional<core::request_id> parse_request_id(
    std::string_view text, core::error& reason);

/// Generates a random id for a request whose caller supplied none.
core::request_id generate_request_id();

/// The client account of a caller's header: at most 128 visible ASCII
/// characters; "anonymous" if the text is empty.
std::optional<core::account_id> parse_account(
    std::string_view text, core::error& reason);

/// The time limit of a request: the header's value in milliseconds, bounded by
/// `max_timeout`, or the kind's own limit if the header is empty.
std::optional<core::milliseconds> parse_timeout(std::string_view text,
    const operators::kind_settings& kind, core::milliseconds max_timeout,
    core::error& reason);

} // namespace pollenward::caller
