#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <ostream>

namespace pollenward::core {

/// A number with its unit in the type.
template <class Tag, class Number>
class quantity {
public:
    constexpr quantity() = default;

    constexpr explicit quantity(Number number)
        : number(number)
    {
    }

    constexpr Number get() const { return this->number; }

    constexpr auto operator<=>(const quantity&) const = default;

    constexpr quantity operator+(quantity other) const
    {
        return quantity(this->number + other.number);
    }

    constexpr quantity operator-(quantity other) const
    {
        return quantity(this->number - other.number);
    }

    friend std::ostream& operator<<(std::ostream& out, quantity value)
    {
        return out << value.number;
    }

private:
    Number number = 0;
};

} // namespace pollenward::core

template <class Tag, class Number>
struct std::hash<pollenward::core::quantity<Tag, Number>> {
    std::size_t operator()(
        pollenward::core::quantity<Tag, Number> value) const noexcept
    {
        return std::hash<Number>{}(value.get());
    }
};
