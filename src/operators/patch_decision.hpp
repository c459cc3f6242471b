#pragma once

#include "operators/configuration.hpp"
#include "operators/patch.hpp"

#include <algorithm>
#include <optional>

namespace pollenward::operators {

enum class patch_decision {
    /// May be applied by a conditional update of the configuration that was
    /// read.
    accepted,
    /// The configuration records the patch.
    already_applied,
    /// The configuration records a patch with the same id and other content.
    ambiguous,
    /// Made against a number other than the one in force.
    stale,
    /// The store contains a lower number than is in force in the fleet, because
    /// it was restored from an older state. No patch is accepted until the
    /// newer configuration is written back; otherwise two
    /// configurations would get the same number.
    store_behind
};

/// The latest record with that patch id, if the configuration has one.
inline std::optional<patch_record> find_patch(
    const configuration& present, const core::patch_id& id)
{
    const auto& records = present.get_patches();
    const auto found = std::find_if(records.rbegin(), records.rend(),
        [&](const patch_record& each) { return each.get_id() == id; });
    return found == records.rend() ? std::nullopt : std::optional(*found);
}

/// Decides on a patch. `stored` is the configuration in the store, `in_force`
/// the highest number that is reported as in force in the fleet.
inline patch_decision decide_patch(const patch& wanted,
    const configuration& stored, core::version_number in_force)
{
    if (const auto record = find_patch(stored, wanted.get_id()))
    {
        const bool is_same = record->get_digest().empty()
            || record->get_digest() == wanted.get_digest();
        return is_same ? patch_decision::already_applied
                       : patch_decision::ambiguous;
    }
    if (stored.get_number() < in_force)
    {
        return patch_decision::store_behind;
    }
    return wanted.get_base_number() == stored.get_number()
        ? patch_decision::accepted
        : patch_decision::stale;
}

} // namespace pollenward::operators
