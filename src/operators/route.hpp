#pragma once

#include "core/error.hpp"
#include "core/ids.hpp"

#include <compare>
#include <optional>
#include <string>
#include <utility>

namespace pollenward::operators {

inline constexpr const char* any_method = "*";

/// Maps requests of one method under one path prefix to a kind. The longest
/// matching prefix is used; a prefix matches whole path segments only.
class route {
public:
    /// Fails if the method is empty or the prefix does not start with '/'.
    static std::optional<route> create(std::string method,
        std::string path_prefix, core::kind_id kind, core::error& reason)
    {
        if (method.empty() || path_prefix.empty() || path_prefix[0] != '/')
        {
            reason
                = core::error::make("check route", method + " " + path_prefix,
                    "needs a method and a path that starts with '/'");
            return std::nullopt;
        }
        route made;
        made.method = std::move(method);
        made.path_prefix = std::move(path_prefix);
        made.kind = std::move(kind);
        return made;
    }

    /// A copy that matches only requests for one host name.
    route with_host(std::string changed) const
    {
        route next = *this;
        next.host = std::move(changed);
        return next;
    }

    /// Host name that the route matches; empty if it matches any.
    const std::string& get_host() const { return this->host; }
    /// `any_method` if the route matches all methods.
    const std::string& get_method() const { return this->method; }
    const std::string& get_path_prefix() const { return this->path_prefix; }
    const core::kind_id& get_kind() const { return this->kind; }

    auto operator<=>(const route&) const = default;

private:
    std::string host;
    std::string method;
    std::string path_prefix;
    core::kind_id kind;
};

} // namespace pollenward::operators
