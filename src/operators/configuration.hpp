#pragma once

#include "core/error.hpp"
#include "core/ids.hpp"
#include "core/units.hpp"
#include "operators/ingress_limits.hpp"
#include "operators/kind_settings.hpp"
#include "operators/patch.hpp"
#include "operators/route.hpp"
#include "operators/service_settings.hpp"

#include <compare>
#include <optional>
#include <vector>

namespace pollenward::operators {

/// Maximum number of patch records in a configuration. They let the sender of a
/// patch whose response was lost find out whether it was applied.
inline constexpr std::size_t max_recorded_patches = 64;

/// Upper bound of the configured maximum time limit of requests. A claim lasts
/// 10 min, and a request must end long before its claim expires; otherwise a
/// second request with the same id could run concurrently.
inline constexpr core::milliseconds longest_max_timeout{ 60000 };

/// One numbered version of all settings that operators declare.
class configuration {
public:
    /// Rejects duplicate ids, duplicate routes, undeclared references and a
    /// `max_timeout` outside (0, longest_max_timeout], and reports every fault.
    /// Keeps the latest `max_recorded_patches` of the patches.
    static std::optional<configuration> create(core::version_number number,
        std::vector<service_settings> services,
        std::vector<kind_settings> kinds, std::vector<route> routes,
        core::milliseconds max_timeout, std::vector<patch_record> patches,
        std::vector<core::error>& reasons);

    core::version_number get_number() const { return this->number; }

    /// Sorted by id.
    const std::vector<service_settings>& get_services() const
    {
        return this->services;
    }

    /// Sorted by id.
    const std::vector<kind_settings>& get_kinds() const { return this->kinds; }

    /// Sorted by host, method and path.
    const std::vector<route>& get_routes() const { return this->routes; }

    /// Longest time limit that a caller may request, in milliseconds.
    core::milliseconds get_max_timeout() const { return this->max_timeout; }

    const ingress_limits& get_ingress_limits() const { return this->ingress; }

    configuration with_ingress_limits(const ingress_limits& changed) const
    {
        configuration next = *this;
        next.ingress = changed;
        return next;
    }

    /// The latest patches, oldest first, at most `max_recorded_patches`.
    const std::vector<patch_record>& get_patches() const
    {
        return this->patches;
    }

    /// A copy of the settings, or nothing if the id is not declared.
    std::optional<service_settings> find_service(
        const core::service_id& id) const;
    std::optional<kind_settings> find_kind(const core::kind_id& id) const;

    auto operator<=>(const configuration&) const = default;

private:
    core::version_number number;
    std::vector<service_settings> services;
    std::vector<kind_settings> kinds;
    std::vector<route> routes;
    core::milliseconds max_timeout{};
    std::vector<patch_record> patches;
    ingress_limits ingress;
};

} // namespace pollenward::operators
