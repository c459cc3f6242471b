#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace pollenward::core {

/// Splits JSON text without reading its values, so that one value that cannot
/// be read does not cost the others. The time is linear and the memory does not
/// depend on the depth. Slices refer to the text that they were split from.
///
/// Nothing if the text is not an array or not an object.
std::optional<std::vector<std::string_view>> split_array(std::string_view text);
/// By key, as it is written in the text.
std::optional<std::map<std::string_view, std::string_view>> split_object(
    std::string_view text);

/// The most arrays and objects in the text that contain each other.
std::size_t nesting_depth(std::string_view text);

} // namespace pollenward::core
