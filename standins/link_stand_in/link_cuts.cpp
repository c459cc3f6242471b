#include "link_cuts.hpp"

#include <nlohmann/json.hpp>

namespace pollenward::link_stand_in {

std::optional<link_cuts> link_cuts::with_json(std::string_view text) const
{
    const auto changes = nlohmann::json::parse(text, nullptr, false);
    if (!changes.is_object())
    {
        return std::nullopt;
    }
    link_cuts next = *this;
    for (const auto& [name, value] : changes.items())
    {
        const bool is_known = name == "cut_forward" || name == "cut_back";
        if (!is_known || !value.is_boolean())
        {
            return std::nullopt;
        }
        (name == "cut_forward" ? next.forward : next.back) = value.get<bool>();
    }
    return next;
}

} // namespace pollenward::link_stand_in
