#pragma once

#include "core/memory_budget.hpp"

#include <compare>
#include <memory>
#include <string>
#include <utility>

namespace pollenward::core {

/// An immutable text. Copies share its bytes, so that a large body is kept
/// once. Compared by content.
class shared_text {
public:
    shared_text() = default;

    /// `reserved` is released with the last copy.
    static shared_text make(std::string text, memory_lease reserved = {})
    {
        shared_text made;
        made.content = std::make_shared<const stored_text>(
            stored_text{ std::move(text), std::move(reserved) });
        return made;
    }

    const std::string& str() const
    {
        static const std::string none;
        return this->content ? this->content->text : none;
    }

    bool operator==(const shared_text& other) const
    {
        return this->content == other.content || this->str() == other.str();
    }

    std::strong_ordering operator<=>(const shared_text& other) const
    {
        return this->str() <=> other.str();
    }

private:
    struct stored_text {
        std::string text;
        memory_lease reserved;
    };

    std::shared_ptr<const stored_text> content;
};

} // namespace pollenward::core
