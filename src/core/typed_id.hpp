#pragma once

#include <compare>
#include <cstddef>
#include <functional>
#include <ostream>
#include <string>
#include <string_view>
#include <utility>

namespace pollenward::core {

/// A string id of one kind. Ids of different kinds do not convert to each
/// other, so a worker's id cannot be passed where a service's id is expected.
template <class Tag>
class typed_id {
public:
    /// The empty id, which identifies nothing.
    typed_id() = default;

    explicit typed_id(std::string text)
        : text(std::move(text))
    {
    }

    const std::string& str() const { return this->text; }
    bool is_empty() const { return this->text.empty(); }

    auto operator<=>(const typed_id&) const = default;

    friend std::ostream& operator<<(std::ostream& out, const typed_id& id)
    {
        return out << id.text;
    }

private:
    std::string text;
};

} // namespace pollenward::core

template <class Tag>
struct std::hash<pollenward::core::typed_id<Tag>> {
    std::size_t operator()(
        const pollenward::core::typed_id<Tag>& id) const noexcept
    {
        return std::hash<std::string_view>{}(id.str());
    }
};
