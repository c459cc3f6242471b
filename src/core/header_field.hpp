#pragma once

#include <compare>
#include <string>
#include <utility>
#include <vector>

namespace pollenward::core {

/// One end-to-end HTTP header field that is passed through unchanged.
class header_field {
public:
    static header_field make(std::string name, std::string value)
    {
        header_field made;
        made.name = std::move(name);
        made.value = std::move(value);
        return made;
    }

    const std::string& get_name() const { return this->name; }
    const std::string& get_value() const { return this->value; }

    auto operator<=>(const header_field&) const = default;

private:
    std::string name;
    std::string value;
};

using header_fields = std::vector<header_field>;

} // namespace pollenward::core
