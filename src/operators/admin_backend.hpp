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

/// The operations of a daemon that the admin server exposes to operators.
template <class Type>
concept admin_backend = requires(Type& type, patch wanted) {
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
