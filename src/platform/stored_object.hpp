#pragma once

#include "core/ids.hpp"
#include "core/units.hpp"

#include <compare>
#include <string>
#include <utility>

namespace pollenward::platform {

/// One object of the platform's store with the version that the store gave it.
class stored_object {
public:
    static stored_object make(core::document_name name,
        core::version_number version, std::string value)
    {
        stored_object made;
        made.name = std::move(name);
        made.version = version;
        made.value = std::move(value);
        return made;
    }

    const core::document_name& get_name() const { return this->name; }
    core::version_number get_version() const { return this->version; }
    const std::string& get_value() const { return this->value; }

    auto operator<=>(const stored_object&) const = default;

private:
    core::document_name name;
    core::version_number version;
    std::string value;
};

} // namespace pollenward::platform
