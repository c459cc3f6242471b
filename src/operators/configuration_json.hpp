#pragma once

#include "operators/configuration.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace pollenward::operators {

/// Reads a configuration from JSON. Reports every fault; the peer of a fault in
/// the form of the text is its JSON path. Unknown keys are faults.
std::optional<configuration> decode_configuration(
    std::string_view text, std::vector<core::error>& reasons);

/// Writes a configuration as JSON with sorted keys, so that equal
/// configurations have equal text.
std::string encode_configuration(const configuration& value);

} // namespace pollenward::operators
