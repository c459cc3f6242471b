#pragma once

#include "core/ids.hpp"
#include "operators/kind_settings.hpp"
#include "operators/route.hpp"

#include <compare>
#include <optional>
#include <utility>
#include <vector>

namespace pollenward::operators {

/// What a configuration declares for one kind of request: its settings and the
/// routes to it. Without settings, the kind is no longer declared.
class kind_entry {
public:
    static kind_entry make(kind_settings settings, std::vector<route> routes)
    {
        kind_entry made;
        made.id = settings.get_id();
        made.settings = std::move(settings);
        made.routes = std::move(routes);
        return made;
    }

    static kind_entry removed(core::kind_id id)
    {
        kind_entry made;
        made.id = std::move(id);
        return made;
    }

    const core::kind_id& get_id() const { return this->id; }
    const std::optional<kind_settings>& get_settings() const
    {
        return this->settings;
    }
    const std::vector<route>& get_routes() const { return this->routes; }

    auto operator<=>(const kind_entry&) const = default;

private:
    core::kind_id id;
    std::optional<kind_settings> settings;
    std::vector<route> routes;
};

} // namespace pollenward::operators
