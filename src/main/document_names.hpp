#pragma once

#include "core/ids.hpp"

#include <optional>
#include <string>

namespace pollenward::main {

/// Names of the objects in the platform's store.
inline const core::document_name configuration_document("configuration");
inline const core::document_name roster_document("claim_roster");
inline const core::document_name fleet_hosts_document("hosts/fleet");

inline core::document_name hosts_document(const core::service_id& service)
{
    return core::document_name("hosts/" + service.str());
}

/// The service whose host list has that name; empty for any other name.
inline std::optional<core::service_id> parse_hosts_document(
    const core::document_name& name)
{
    const std::string prefix = "hosts/";
    if (name.str().rfind(prefix, 0) != 0 || name == fleet_hosts_document)
    {
        return std::nullopt;
    }
    return core::service_id(name.str().substr(prefix.size()));
}

} // namespace pollenward::main
