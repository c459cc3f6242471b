#pragma once

#include "core/error.hpp"
#include "platform/host_entry.hpp"

#include <optional>
#include <string_view>
#include <vector>

namespace pollenward::platform {

/// Decodes the value of a "hosts/..." object: a JSON array of {"id",
/// "endpoint", "zone", "state": "live" | "leaving"}.
std::optional<std::vector<host_entry>> decode_host_list(
    std::string_view text, core::error& reason);

} // namespace pollenward::platform
