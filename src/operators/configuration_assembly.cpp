#include "operators/configuration_assembly.hpp"

#include <string>
#include <utility>

namespace pollenward::operators {

configuration_assembly configuration_assembly::make(
    std::optional<configuration> base)
{
    configuration_assembly made;
    made.next = configuration_request::from_start(
        base ? base->get_number() : core::version_number(0));
    made.base = std::move(base);
    return made;
}

void configuration_assembly::add(const configuration_part& received)
{
    if (received.get_next().get_base() != this->next.get_base())
    {
        this->base.reset();
        this->changed.clear();
    }
    this->next = received.get_next();
    for (const kind_entry& each : received.get_entries())
    {
        this->changed.insert_or_assign(each.get_id(), each);
    }
    this->general = received.get_general();
    this->kind_count = received.get_kind_count();
}

std::optional<configuration> configuration_assembly::finish(
    std::vector<core::error>& reasons) const
{
    std::vector<kind_settings> kinds;
    std::vector<route> routes;
    if (this->base)
    {
        for (const kind_settings& each : this->base->get_kinds())
        {
            if (this->changed.count(each.get_id()) == 0)
            {
                kinds.push_back(each);
            }
        }
        for (const route& each : this->base->get_routes())
        {
            if (this->changed.count(each.get_kind()) == 0)
            {
                routes.push_back(each);
            }
        }
    }
    for (const auto& [id, each] : this->changed)
    {
        if (each.get_settings())
        {
            kinds.push_back(*each.get_settings());
            routes.insert(routes.end(), each.get_routes().begin(),
                each.get_routes().end());
        }
    }
    if (!this->general || kinds.size() != this->kind_count)
    {
        // The sender was restarted during the transfer.
        reasons.push_back(core::error::make("assemble configuration",
            std::to_string(kinds.size()) + " kinds",
            "the sender has " + std::to_string(this->kind_count)));
        return std::nullopt;
    }
    const auto made = configuration::create(this->general->get_number(),
        this->general->get_services(), std::move(kinds), std::move(routes),
        this->general->get_max_timeout(), this->general->get_patches(),
        reasons);
    return made ? std::optional(
               made->with_ingress_limits(this->general->get_ingress_limits()))
                : std::nullopt;
}

} // namespace pollenward::operators
