#pragma once

#include <compare>
#include <string>
#include <utility>

namespace pollenward::operators {

/// One value that differs between two configurations. Values are JSON text;
/// an absent value is empty.
class configuration_difference {
public:
    static configuration_difference make(
        std::string path, std::string old_value, std::string new_value)
    {
        configuration_difference made;
        made.path = std::move(path);
        made.old_value = std::move(old_value);
        made.new_value = std::move(new_value);
        return made;
    }

    /// For example "/services/<id>/floor"; items of arrays are addressed by id.
    const std::string& get_path() const { return this->path; }
    const std::string& get_old_value() const { return this->old_value; }
    const std::string& get_new_value() const { return this->new_value; }

    auto operator<=>(const configuration_difference&) const = default;

private:
    std::string path;
    std::string old_value;
    std::string new_value;
};

} // namespace pollenward::operators
