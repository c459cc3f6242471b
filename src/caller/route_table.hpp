#pragma once

#include "operators/configuration.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

namespace pollenward::caller {

/// Finds the kind of a request by method and path. The cost depends on the
/// number of path segments, not on the number of routes.
class route_table {
public:
    static route_table make(const operators::configuration& configuration);

    /// The kind declared for the longest matching prefix, or nullopt. The path
    /// must not contain the query part of the target.
    std::optional<operators::kind_settings> find(
        std::string_view method, std::string_view path) const
    {
        return this->find({}, method, path);
    }

    /// As above, for a request to one host name. At the same prefix a route for
    /// the host takes precedence over one for any host, then a route for the
    /// method over one for any method.
    std::optional<operators::kind_settings> find(std::string_view host,
        std::string_view method, std::string_view path) const;

    bool operator==(const route_table&) const = default;

private:
    std::unordered_map<std::string, operators::kind_settings> kinds;
    bool has_hosts = false;
    bool has_any_method = false;
};

/// The path of a request target, without its query.
std::string_view path_of(std::string_view target);

/// The host name of a Host field, without its port; "[::1]" stays as it is.
std::string_view host_name_of(std::string_view host);

} // namespace pollenward::caller
