#pragma once

#include "core/units.hpp"
#include "platform/stored_object.hpp"
#include "platform/watch_result.hpp"

#include <optional>
#include <string_view>

namespace pollenward::platform {

/// Decodes {"name", "version", "value"}; nothing if the text is anything else.
std::optional<stored_object> decode_object(std::string_view text);

/// Decodes {"version"} of the response to an update.
std::optional<core::version_number> decode_version(std::string_view text);

/// Decodes {"revision", "objects"} and, if the service states it, "era" of the
/// response to a watch.
std::optional<watch_result> decode_changes(std::string_view text);

} // namespace pollenward::platform
