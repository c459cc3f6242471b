#pragma once

#include "core/ids.hpp"
#include "core/units.hpp"

#include <compare>
#include <utility>

namespace pollenward::fleet {

/// Requests a document if the peer has a newer version than
/// `present_version`.
class fetch_document {
public:
    static fetch_document make(
        core::document_name name, core::version_number present_version)
    {
        fetch_document made;
        made.name = std::move(name);
        made.present_version = present_version;
        return made;
    }

    const core::document_name& get_name() const { return this->name; }
    core::version_number get_present_version() const
    {
        return this->present_version;
    }

    auto operator<=>(const fetch_document&) const = default;

private:
    core::document_name name;
    core::version_number present_version;
};

} // namespace pollenward::fleet
