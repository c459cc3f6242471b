#pragma once

#include "core/error.hpp"
#include "core/units.hpp"

#include <array>
#include <compare>
#include <optional>
#include <string_view>
#include <utility>
#include <vector>

namespace pollenward::operators {

enum class patch_outcome {
    accepted,
    already_applied,
    /// Not applied: made against a number other than the one in force.
    stale,
    /// Not applied: the id belongs to a patch with other content.
    ambiguous,
    /// Not applied: the patch or its result has faults.
    invalid,
    /// Not applied: the store does not respond or contains an older state.
    unavailable,
    /// May have been applied, or may still be applied.
    unknown
};

inline constexpr std::array<std::string_view, 7> patch_outcome_names
    = { "accepted", "already-applied", "stale", "ambiguous", "invalid",
          "unavailable", "unknown" };

constexpr std::string_view to_string(patch_outcome value)
{
    return patch_outcome_names[static_cast<std::size_t>(value)];
}

constexpr std::optional<patch_outcome> parse_patch_outcome(
    std::string_view name)
{
    for (std::size_t i = 0; i < patch_outcome_names.size(); ++i)
    {
        if (patch_outcome_names[i] == name)
        {
            return static_cast<patch_outcome>(i);
        }
    }
    return std::nullopt;
}

/// The reply to an operator's patch.
class patch_reply {
public:
    /// `number` is the configuration number that the patch created if it is
    /// applied, and the one in force otherwise (0 if unknown).
    static patch_reply make(patch_outcome outcome, core::version_number number,
        std::vector<core::error> faults = {})
    {
        patch_reply made;
        made.outcome = outcome;
        made.number = number;
        made.faults = std::move(faults);
        return made;
    }

    patch_outcome get_outcome() const { return this->outcome; }
    core::version_number get_number() const { return this->number; }
    const std::vector<core::error>& get_faults() const { return this->faults; }

    bool is_applied() const
    {
        return this->outcome == patch_outcome::accepted
            || this->outcome == patch_outcome::already_applied;
    }

    auto operator<=>(const patch_reply&) const = default;

private:
    patch_outcome outcome = patch_outcome::unknown;
    core::version_number number;
    std::vector<core::error> faults;
};

} // namespace pollenward::operators
