#pragma once

#include "operators/configuration.hpp"
#include "operators/configuration_diff.hpp"
#include "operators/patch.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace pollenward::operators {

/// Reads the text of a JSON merge patch (RFC 7396). Equal patches have equal
/// content, independent of whitespace and the order of keys.
std::optional<patch> decode_patch(core::patch_id id,
    core::version_number base_number, std::string_view text,
    core::error& reason);

/// Reads {"id", "number", "patch"}, the body form of POST /patch.
std::optional<patch> decode_patch_message(
    std::string_view text, core::error& reason);

/// Applies the patch to `present`: the number increases by one and the patch is
/// recorded. The result is validated as a whole and every fault is reported. In
/// the patch, "services", "kinds" and "routes" may be objects keyed by id
/// (routes: "METHOD /prefix" or "METHOD host/prefix"), which change single
/// items.
std::optional<configuration> apply_patch(const patch& change,
    const configuration& present, std::vector<core::error>& reasons);

/// All values that differ, except for the number and the recorded patches.
std::vector<configuration_difference> compare_configurations(
    const configuration& before, const configuration& after);

} // namespace pollenward::operators
