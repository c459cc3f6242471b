#pragma once

#include "core/ids.hpp"
#include "operators/kind_settings.hpp"

#include <xxhash.h>

#include <string_view>

namespace pollenward::caller {

/// The service that a request of the kind goes to. If the kind is split among
/// services, the hash of the request id decides, so that every daemon keeps the
/// proportions without a counter.
inline core::service_id choose_service(
    const operators::kind_settings& kind, std::string_view request_id)
{
    double total = 0;
    for (const operators::service_weight& each : kind.get_split())
    {
        total += each.get_weight();
    }
    if (total <= 0)
    {
        return kind.get_service();
    }
    const auto hash = XXH3_64bits(request_id.data(), request_id.size());
    constexpr double range = 18446744073709551616.0; // 2^64
    double rest = static_cast<double>(hash) / range * total;
    for (const operators::service_weight& each : kind.get_split())
    {
        rest -= each.get_weight();
        if (rest < 0)
        {
            return each.get_service();
        }
    }
    return kind.get_split().back().get_service();
}

} // namespace pollenward::caller
