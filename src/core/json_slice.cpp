#include "core/json_slice.hpp"

#include <algorithm>
#include <utility>

namespace pollenward::core {

namespace {

    constexpr std::string_view white_space = " \t\r\n";

    std::string_view trim(std::string_view text)
    {
        const auto first = text.find_first_not_of(white_space);
        if (first == std::string_view::npos)
        {
            return {};
        }
        return text.substr(
            first, text.find_last_not_of(white_space) - first + 1);
    }

    /// Walks over the structure of a text: its strings count as one character.
    template <class Visit>
    void visit_structure(std::string_view text, Visit visit)
    {
        std::size_t depth = 0;
        for (std::size_t i = 0; i < text.size(); ++i)
        {
            switch (text[i])
            {
            case '"':
                for (++i; i < text.size() && text[i] != '"'; ++i)
                {
                    i += text[i] == '\\' ? 1 : 0;
                }
                break;
            case '[':
            case '{':
                ++depth;
                break;
            case ']':
            case '}':
                depth -= depth == 0 ? 0 : 1;
                break;
            default:
                break;
            }
            if (i < text.size())
            {
                visit(i, depth);
            }
        }
    }

    /// The positions of a separator outside of strings and inner values.
    std::vector<std::size_t> find_separators(
        std::string_view text, char separator)
    {
        std::vector<std::size_t> found;
        visit_structure(text, [&](std::size_t position, std::size_t depth) {
            if (depth == 0 && text[position] == separator)
            {
                found.push_back(position);
            }
        });
        return found;
    }

    /// The parts of an array or object between its brackets and commas.
    std::optional<std::vector<std::string_view>> split(
        std::string_view text, char open, char close)
    {
        text = trim(text);
        if (text.size() < 2 || text.front() != open || text.back() != close)
        {
            return std::nullopt;
        }
        text = trim(text.substr(1, text.size() - 2));
        std::vector<std::string_view> parts;
        std::size_t begin = 0;
        for (const std::size_t comma : find_separators(text, ','))
        {
            parts.push_back(trim(text.substr(begin, comma - begin)));
            begin = comma + 1;
        }
        if (!text.empty())
        {
            parts.push_back(trim(text.substr(begin)));
        }
        return parts;
    }

} // namespace

std::optional<std::vector<std::string_view>> split_array(std::string_view text)
{
    return split(text, '[', ']');
}

std::optional<std::map<std::string_view, std::string_view>> split_object(
    std::string_view text)
{
    const auto parts = split(text, '{', '}');
    if (!parts)
    {
        return std::nullopt;
    }
    std::map<std::string_view, std::string_view> members;
    for (const std::string_view part : *parts)
    {
        const auto colons = find_separators(part, ':');
        const auto key
            = colons.empty() ? part : trim(part.substr(0, colons.front()));
        if (colons.empty() || key.size() < 2 || key.front() != '"'
            || key.back() != '"')
        {
            return std::nullopt;
        }
        members.insert_or_assign(key.substr(1, key.size() - 2),
            trim(part.substr(colons.front() + 1)));
    }
    return members;
}

std::size_t nesting_depth(std::string_view text)
{
    std::size_t deepest = 0;
    visit_structure(text, [&](std::size_t /*position*/, std::size_t depth) {
        deepest = std::max(deepest, depth);
    });
    return deepest;
}

} // namespace pollenward::core
