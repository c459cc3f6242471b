#pragma once

#include "core/ids.hpp"
#include "core/units.hpp"

#include <compare>
#include <utility>

namespace pollenward::fleet {

/// Asks for a document if the peer holds a newer version than `known`.
class fetch_document {
public:
    static fetch_document make(
        core::document_name name, core::version_number known)
    {
        fetch_document made;
        made.name = std::move(name);
        made.known = known;
        return made;
    }

    const core::document_name& get_name() const { return this->name; }
    core::version_number get_known() const { return this->known; }

    auto operator<=>(const fetch_document&) const = default;

private:
    core::document_name name;
    core::version_number known;
};

} // namespace pollenward::fleet
