#pragma once

#include "process/cluster.hpp"

#include <cstdint>
#include <optional>
#include <string>

namespace pollenward::test {

/// A patch that sets the floor of the service.
inline std::string patch_body(
    std::uint64_t against, const std::string& id, double floor)
{
    return "{\"number\": " + std::to_string(against) + ", \"id\": \"" + id
        + "\", \"patch\": {\"services\": {\"ballots\": {\"floor\": "
        + std::to_string(floor) + "}}}}";
}

inline std::optional<http_reply> send_patch(const cluster& system, int daemon,
    std::uint64_t against, const std::string& id, double floor)
{
    return http_call(system.admin_port(daemon), "POST", "/patch",
        patch_body(against, id, floor),
        { { "Content-Type", "application/json" } });
}

} // namespace pollenward::test
