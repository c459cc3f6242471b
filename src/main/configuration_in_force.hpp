#pragma once

#include "caller/route_table.hpp"
#include "core/sharded_snapshot.hpp"
#include "operators/configuration.hpp"

#include <mutex>
#include <optional>
#include <string_view>
#include <vector>

namespace pollenward::main {

/// The configuration that this daemon applies, with the routes made from it.
class configuration_in_force {
public:
    configuration_in_force();

    /// Takes a newer configuration into force; false if it is not newer.
    bool store(const operators::configuration& next);

    /// The version in force, 0 before the first.
    core::version_number get_number() const;
    std::optional<operators::configuration> get() const;
    std::vector<operators::service_settings> get_services() const;

    std::optional<operators::service_settings> find_service(
        const core::service_id& id) const;

    /// The kind of a request, as caller::router asks for it.
    std::optional<operators::kind_settings> find(
        std::string_view method, std::string_view path) const;
    std::optional<operators::kind_settings> find(std::string_view host,
        std::string_view method, std::string_view path) const;
    core::milliseconds max_timeout() const;
    operators::ingress_limits ingress() const;

private:
    /// What requests look up, replaced together.
    struct state {
        std::optional<operators::configuration> configuration;
        caller::route_table routes;
    };

    std::mutex storing;
    core::sharded_snapshot<state> present;
};

} // namespace pollenward::main
