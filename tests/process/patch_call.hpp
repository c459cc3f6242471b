#pragma once

#include "process/cluster.hpp"

#include <cstdint>
#include <optional>
#include <string>

namespace pollenward::test {

/// Body of a patch that sets the floor of the service, made against version
/// `base_number`.
inline std::string patch_body(
    std::uint64_t base_number, const std::string& id, double floor)
{
    return "{\"number\": " + std::to_string(base_number) + ", \"id\": \"" + id
        + "\", \"patch\": {\"services\": {\"ballots\": {\"floor\": "
        + std::to_string(floor) + "}}}}";
}

inline std::optional<http_reply> send_patch(const cluster& system, int daemon,
    std::uint64_t base_number, const std::string& id, double floor)
{
    return http_call(system.admin_port(daemon), "POST", "/patch",
        patch_body(base_number, id, floor),
        { { "Content-Type", "application/json" } });
}

} // namespace pollenward::test
