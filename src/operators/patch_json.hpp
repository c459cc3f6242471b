#pragma once

#include "operators/configuration.hpp"
#include "operators/configuration_diff.hpp"
#include "operators/patch.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace pollenward::operators {

/// Reads the text of a JSON merge patch (RFC 7396). Equal patches get equal
/// content whatever their spacing and order of keys.
std::optional<patch> decode_patch(core::patch_id id,
    core::version_number against, std::string_view text, core::error& reason);

/// Reads {"id", "number", "patch"}, the body form of POST /patch.
std::optional<patch> decode_patch_message(
    std::string_view text, core::error& reason);

/// The configuration that the patch makes of `present`: the number is one
/// higher and the patch is recorded. The result is checked as a whole; every
/// fault is reported. In the patch, "services", "kinds" and "routes" may be
/// objects keyed by id (routes: "METHOD /prefix"), which change single items.
std::optional<configuration> apply_patch(const patch& change,
    const configuration& present, std::vector<core::error>& reasons);

/// All values that differ, except the number and the recorded patches.
std::vector<configuration_difference> compare_configurations(
    const configuration& before, const configuration& after);

} // namespace pollenward::operators
