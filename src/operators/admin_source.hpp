#pragma once

#include "operators/configuration.hpp"
#include "operators/fleet_status.hpp"
#include "operators/metrics_snapshot.hpp"
#include "operators/patch.hpp"
#include "operators/patch_reply.hpp"

#include <boost/asio/awaitable.hpp>

#include <concepts>
#include <optional>
#include <utility>

namespace pollenward::operators {

/// What the daemon shows to operators and lets them change.
template <class Type>
concept admin_source = requires(Type& type, patch wanted) {
    {
        type.status()
    } -> std::same_as<fleet_status>;
    {
        type.metrics()
    } -> std::same_as<metrics_snapshot>;
    {
        type.configuration_in_force()
    } -> std::same_as<std::optional<configuration>>;
    {
        type.is_ready()
    } -> std::same_as<bool>;
    {
        type.apply(std::move(wanted))
    } -> std::same_as<boost::asio::awaitable<patch_reply>>;
};

} // namespace pollenward::operators
