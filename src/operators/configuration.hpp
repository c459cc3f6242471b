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

/// Patch ids that a configuration remembers, so that the author of a patch
/// whose response was lost can find out whether it took effect.
inline constexpr std::size_t remembered_patches = 64;

/// Longest time limit that can be allowed to callers. Claims last 10 min and a
/// request must have ended long before its claim expires, or the same id could
/// run again beside it.
inline constexpr core::milliseconds longest_max_timeout{ 60000 };

/// One numbered version of everything that operators declare.
class configuration {
public:
    /// Checks ids for duplicates and references for existence, and reports
    /// every fault found.
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
    const std::vector<route>& get_routes() const { return this->routes; }

    /// Longest time limit that a caller may ask for, in milliseconds.
    core::milliseconds get_max_timeout() const { return this->max_timeout; }

    const ingress_limits& get_ingress_limits() const { return this->ingress; }

    configuration with_ingress_limits(const ingress_limits& changed) const
    {
        configuration next = *this;
        next.ingress = changed;
        return next;
    }

    /// The latest patches, oldest first, at most `remembered_patches`.
    const std::vector<patch_record>& get_patches() const
    {
        return this->patches;
    }

    /// A copy of the settings, or nothing if the service is not declared.
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
