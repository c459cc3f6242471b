#pragma once

#include <compare>
#include <optional>
#include <string_view>

namespace pollenward::link_stand_in {

/// Directions of the link in which bytes are discarded. "Forward" is the
/// direction from the connecting to the listening side.
class link_cuts {
public:
    /// Returns a copy with the fields of a JSON object replaced: "cut_forward"
    /// and "cut_back", both boolean. Returns nothing on any other field or
    /// type.
    std::optional<link_cuts> with_json(std::string_view text) const;

    bool is_forward_cut() const { return this->forward; }
    bool is_back_cut() const { return this->back; }

    auto operator<=>(const link_cuts&) const = default;

private:
    bool forward = false;
    bool back = false;
};

} // namespace pollenward::link_stand_in
