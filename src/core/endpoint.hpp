#pragma once

#include "core/error.hpp"

#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace pollenward::core {

/// An IP address and a port, "127.0.0.1:8080" or "[::1]:8080".
class endpoint {
public:
    endpoint() = default;

    /// Parses "address:port". Host names are rejected: hosts are identified by
    /// IP address, and a name lookup would block.
    static std::optional<endpoint> create(std::string_view text, error& reason);

    const std::string& get_address() const { return this->address; }
    std::uint16_t get_port() const { return this->port; }
    std::string str() const;

    auto operator<=>(const endpoint&) const = default;

private:
    std::string address;
    std::uint16_t port = 0;
};

} // namespace pollenward::core

template <>
struct std::hash<pollenward::core::endpoint> {
    std::size_t operator()(const pollenward::core::endpoint& value) const
    {
        return std::hash<std::string>{}(value.str());
    }
};
