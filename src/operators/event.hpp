#pragma once

#include "core/error.hpp"
#include "core/runtime_clock.hpp"
#include "core/typed_id.hpp"

#include <compare>
#include <concepts>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

namespace pollenward::operators {

/// One line of the log: a name and fields, "name key=value key=value". Values
/// with spaces or quotes are quoted.
class event {
public:
    static event make(std::string_view name)
    {
        event made;
        made.name = std::string(name);
        return made;
    }

    event with(std::string_view key, std::string_view value) const
    {
        event next = *this;
        next.append(key, value);
        return next;
    }

    event with(std::string_view key, const char* value) const
    {
        return this->with(key, std::string_view(value));
    }

    event with(std::string_view key, const std::string& value) const
    {
        return this->with(key, std::string_view(value));
    }

    template <class Tag>
    event with(std::string_view key, const core::typed_id<Tag>& value) const
    {
        return this->with(key, std::string_view(value.str()));
    }

    template <std::integral Number>
    event with(std::string_view key, Number value) const
    {
        return this->with(key, std::string_view(std::to_string(value)));
    }

    /// Three digits after the point.
    event with(std::string_view key, double value) const;

    /// In whole milliseconds.
    event with(std::string_view key, core::duration value) const;

    /// Adds no field if there is no error.
    event with(std::string_view key, const core::error& value) const
    {
        return value == core::error() ? *this
                                      : this->with(key, value.describe());
    }

    const std::string& get_name() const { return this->name; }
    std::string str() const { return this->name + this->fields; }

    auto operator<=>(const event&) const = default;

private:
    void append(std::string_view key, std::string_view value);

    std::string name;
    std::string fields;
};

/// Writes the event to the log, subject to the rate limit of its name.
void write(const event& written);

} // namespace pollenward::operators
