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

    /// Replaces the configuration; false if `next` is not newer.
    bool store(const operators::configuration& next);

    /// The number of the configuration in force; 0 before the first.
    core::version_number get_number() const;
    std::optional<operators::configuration> get() const;
    std::vector<operators::service_settings> get_services() const;

    std::optional<operators::service_settings> find_service(
        const core::service_id& id) const;

    /// Finds the kind of a request; part of the Router of caller::http_server.
    std::optional<operators::kind_settings> find(
        std::string_view method, std::string_view path) const;
    std::optional<operators::kind_settings> find(std::string_view host,
        std::string_view method, std::string_view path) const;
    /// The timeout of a kind of request, or nothing if it is not declared.
    std::optional<core::milliseconds> find_timeout(
        const core::kind_id& id) const;
    core::milliseconds max_timeout() const;
    operators::ingress_limits ingress() const;

private:
    /// Replaced as a whole, so that each lookup sees a single version.
    struct state {
        std::optional<operators::configuration> configuration;
        caller::route_table routes;
    };

    std::mutex store_mutex;
    core::sharded_snapshot<state> current;
};

} // namespace pollenward::main
