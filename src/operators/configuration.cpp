#include "operators/configuration.hpp"

#include <algorithm>
#include <string>
#include <utility>

namespace pollenward::operators {

namespace {

    core::error fault(const std::string& subject, const std::string& cause)
    {
        return core::error::make("check configuration", subject, cause);
    }

    template <class Item>
    void sort_by_id(std::vector<Item>& items)
    {
        std::sort(items.begin(), items.end(),
            [](const Item& left, const Item& right) {
                return left.get_id() < right.get_id();
            });
    }

    template <class Item, class Id>
    std::optional<Item> find_by_id(
        const std::vector<Item>& sorted, const Id& id)
    {
        const auto found = std::lower_bound(sorted.begin(), sorted.end(), id,
            [](const Item& item, const Id& wanted) {
                return item.get_id() < wanted;
            });
        if (found == sorted.end() || found->get_id() != id)
        {
            return std::nullopt;
        }
        return *found;
    }

    template <class Item>
    void report_duplicates(const char* what, const std::vector<Item>& sorted,
        std::vector<core::error>& reasons)
    {
        for (std::size_t i = 1; i < sorted.size(); ++i)
        {
            if (sorted[i - 1].get_id() == sorted[i].get_id())
            {
                reasons.push_back(
                    fault(std::string(what) + " " + sorted[i].get_id().str(),
                        "is declared twice"));
            }
        }
    }

    void report_duplicate_routes(
        const std::vector<route>& routes, std::vector<core::error>& reasons)
    {
        for (std::size_t i = 1; i < routes.size(); ++i)
        {
            const route& one = routes[i - 1];
            const route& two = routes[i];
            if (one.get_host() == two.get_host()
                && one.get_method() == two.get_method()
                && one.get_path_prefix() == two.get_path_prefix())
            {
                reasons.push_back(fault("route " + one.get_host() + " "
                        + one.get_method() + " " + one.get_path_prefix(),
                    "is declared twice"));
            }
        }
    }

    void report_dangling_references(
        const std::vector<service_settings>& services,
        const std::vector<kind_settings>& kinds,
        const std::vector<route>& routes, std::vector<core::error>& reasons)
    {
        for (const kind_settings& kind : kinds)
        {
            if (!find_by_id(services, kind.get_service()))
            {
                reasons.push_back(fault("kind " + kind.get_id().str(),
                    "refers to the undeclared service "
                        + kind.get_service().str()));
            }
            for (const service_weight& each : kind.get_split())
            {
                if (!find_by_id(services, each.get_service()))
                {
                    reasons.push_back(fault("kind " + kind.get_id().str(),
                        "has a split with the undeclared service "
                            + each.get_service().str()));
                }
            }
        }
        for (const route& each : routes)
        {
            if (!find_by_id(kinds, each.get_kind()))
            {
                reasons.push_back(fault(
                    "route " + each.get_method() + " " + each.get_path_prefix(),
                    "refers to the undeclared kind " + each.get_kind().str()));
            }
        }
    }

} // namespace

std::optional<configuration> configuration::create(core::version_number number,
    std::vector<service_settings> services, std::vector<kind_settings> kinds,
    std::vector<route> routes, core::milliseconds max_timeout,
    std::vector<patch_record> patches, std::vector<core::error>& reasons)
{
    const std::size_t faults_before = reasons.size();
    sort_by_id(services);
    sort_by_id(kinds);
    std::sort(routes.begin(), routes.end());
    report_duplicates("service", services, reasons);
    report_duplicates("kind", kinds, reasons);
    report_duplicate_routes(routes, reasons);
    report_dangling_references(services, kinds, routes, reasons);
    if (max_timeout <= core::milliseconds::zero()
        || max_timeout > longest_max_timeout)
    {
        reasons.push_back(
            fault("max_timeout_ms", "is not between 1 and 60000"));
    }
    if (reasons.size() != faults_before)
    {
        return std::nullopt;
    }
    if (patches.size() > max_recorded_patches)
    {
        patches.erase(patches.begin(), patches.end() - max_recorded_patches);
    }
    configuration made;
    made.number = number;
    made.services = std::move(services);
    made.kinds = std::move(kinds);
    made.routes = std::move(routes);
    made.max_timeout = max_timeout;
    made.patches = std::move(patches);
    return made;
}

std::optional<service_settings> configuration::find_service(
    const core::service_id& id) const
{
    return find_by_id(this->services, id);
}

std::optional<kind_settings> configuration::find_kind(
    const core::kind_id& id) const
{
    return find_by_id(this->kinds, id);
}

} // namespace pollenward::operators
