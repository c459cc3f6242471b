#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace pollenward::test {

/// An HTTP response. Header names are in lower case.
struct http_reply {
    unsigned status = 0;
    std::map<std::string, std::string> headers;
    std::string body;

    std::string header(const std::string& name) const
    {
        const auto found = this->headers.find(name);
        return found == this->headers.end() ? "" : found->second;
    }

    std::string outcome() const { return this->header("request-outcome"); }
};

/// Sends one HTTP request to 127.0.0.1 on a new connection. Returns nothing if
/// the connection fails or no complete response arrives within 30 s.
std::optional<http_reply> http_call(std::uint16_t port,
    const std::string& method, const std::string& target,
    const std::string& body = "",
    const std::map<std::string, std::string>& headers = {});

} // namespace pollenward::test
