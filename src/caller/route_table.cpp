#include "caller/route_table.hpp"

#include <boost/algorithm/string/case_conv.hpp>

namespace pollenward::caller {

namespace {

    std::string key_of(
        std::string_view host, std::string_view method, std::string_view prefix)
    {
        // Host names are compared without case (RFC 9110, section 4.2.3).
        std::string key = boost::algorithm::to_lower_copy(std::string(host));
        key += ' ';
        key += method;
        key += ' ';
        key += prefix;
        return key;
    }

    std::string_view without_final_slash(std::string_view path)
    {
        const bool has_slash = path.size() > 1 && path.back() == '/';
        return has_slash ? path.substr(0, path.size() - 1) : path;
    }

    /// "/a/b" -> "/a" -> "/" -> "".
    std::string_view parent_of(std::string_view path)
    {
        const auto slash = path.rfind('/');
        if (slash == std::string_view::npos || path == "/")
        {
            return {};
        }
        return slash == 0 ? path.substr(0, 1) : path.substr(0, slash);
    }

} // namespace

route_table route_table::make(const operators::configuration& configuration)
{
    route_table made;
    for (const operators::route& route : configuration.get_routes())
    {
        const auto kind = configuration.find_kind(route.get_kind());
        if (kind)
        {
            made.has_hosts = made.has_hosts || !route.get_host().empty();
            made.has_any_method = made.has_any_method
                || route.get_method() == operators::any_method;
            made.kinds.emplace(
                key_of(route.get_host(), route.get_method(),
                    without_final_slash(route.get_path_prefix())),
                *kind);
        }
    }
    return made;
}

std::optional<operators::kind_settings> route_table::find(
    std::string_view host, std::string_view method, std::string_view path) const
{
    std::string_view prefix = without_final_slash(path);
    while (!prefix.empty())
    {
        for (const std::string_view name : { host, std::string_view() })
        {
            for (const std::string_view verb :
                { method, std::string_view(operators::any_method) })
            {
                const bool is_possible = (name.empty() || this->has_hosts)
                    && (verb == method || this->has_any_method);
                const auto found = is_possible
                    ? this->kinds.find(key_of(name, verb, prefix))
                    : this->kinds.end();
                if (found != this->kinds.end())
                {
                    return found->second;
                }
            }
        }
        prefix = parent_of(prefix);
    }
    return std::nullopt;
}

std::string_view host_name_of(std::string_view host)
{
    const auto bracket = host.rfind(']');
    return host.substr(
        0, host.find(':', bracket == std::string_view::npos ? 0 : bracket));
}

std::string_view path_of(std::string_view target)
{
    return target.substr(0, target.find('?'));
}

} // namespace pollenward::caller
