#include "core/endpoint.hpp"

#include <arpa/inet.h>
#include <charconv>

namespace pollenward::core {

namespace {

    bool is_ip_address(const std::string& address)
    {
        in6_addr scratch{};
        return inet_pton(AF_INET, address.c_str(), &scratch) == 1
            || inet_pton(AF_INET6, address.c_str(), &scratch) == 1;
    }

    std::optional<std::uint16_t> parse_port(std::string_view text)
    {
        std::uint16_t port = 0;
        const char* end = text.data() + text.size();
        const auto parsed = std::from_chars(text.data(), end, port);
        if (parsed.ec != std::errc() || parsed.ptr != end)
        {
            return std::nullopt;
        }
        return port;
    }

    std::string without_brackets(std::string_view address)
    {
        if (address.size() > 2 && address.front() == '['
            && address.back() == ']')
        {
            address = address.substr(1, address.size() - 2);
        }
        return std::string(address);
    }

} // namespace

std::optional<endpoint> endpoint::create(std::string_view text, error& reason)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos)
    {
        reason
            = error::make("parse endpoint", std::string(text), "has no port");
        return std::nullopt;
    }
    endpoint made;
    made.address = without_brackets(text.substr(0, colon));
    if (!is_ip_address(made.address))
    {
        reason = error::make(
            "parse endpoint", std::string(text), "is not an IP address");
        return std::nullopt;
    }
    const auto port = parse_port(text.substr(colon + 1));
    if (!port)
    {
        reason = error::make("parse endpoint", std::string(text),
            "port is not a number from 0 to 65535");
        return std::nullopt;
    }
    made.port = *port;
    return made;
}

std::string endpoint::str() const
{
    const bool is_v6 = this->address.find(':') != std::string::npos;
    const std::string host = is_v6 ? "[" + this->address + "]" : this->address;
    return host + ":" + std::to_string(this->port);
}

} // namespace pollenward::core
