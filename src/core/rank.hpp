#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace pollenward::core {

/// Urgency of a kind of request, most urgent first.
enum class rank { urgent, standard, background };

inline constexpr std::array all_ranks
    = { rank::urgent, rank::standard, rank::background };
inline constexpr std::size_t rank_count = all_ranks.size();

constexpr std::size_t index_of(rank value)
{
    return static_cast<std::size_t>(value);
}

constexpr std::string_view to_string(rank value)
{
    constexpr std::array<std::string_view, rank_count> names
        = { "urgent", "standard", "background" };
    return names[index_of(value)];
}

/// The rank with that name, or nothing if there is none.
constexpr std::optional<rank> parse_rank(std::string_view name)
{
    for (const rank value : all_ranks)
    {
        if (to_string(value) == name)
        {
            return value;
        }
    }
    return std::nullopt;
}

} // namespace pollenward::core
