#include "main/configuration_in_force.hpp"

namespace pollenward::main {

configuration_in_force::configuration_in_force()
    : current(state())
{
}

bool configuration_in_force::store(const operators::configuration& next)
{
    // Two versions can arrive concurrently; the higher number must stay.
    const std::lock_guard lock(this->store_mutex);
    if (next.get_number() <= this->get_number())
    {
        return false;
    }
    this->current.store({ next, caller::route_table::make(next) });
    return true;
}

core::version_number configuration_in_force::get_number() const
{
    return this->current.read([](const state& value) {
        return value.configuration ? value.configuration->get_number()
                                   : core::version_number(0);
    });
}

std::optional<operators::configuration> configuration_in_force::get() const
{
    return this->current.read(
        [](const state& value) { return value.configuration; });
}

std::vector<operators::service_settings>
configuration_in_force::get_services() const
{
    return this->current.read([](const state& value) {
        return value.configuration ? value.configuration->get_services()
                                   : std::vector<operators::service_settings>();
    });
}

std::optional<operators::service_settings> configuration_in_force::find_service(
    const core::service_id& id) const
{
    return this->current.read(
        [&](const state& value) -> std::optional<operators::service_settings> {
            return value.configuration ? value.configuration->find_service(id)
                                       : std::nullopt;
        });
}

std::optional<operators::kind_settings> configuration_in_force::find(
    std::string_view method, std::string_view path) const
{
    return this->current.read(
        [&](const state& value) { return value.routes.find(method, path); });
}

std::optional<operators::kind_settings> configuration_in_force::find(
    std::string_view host, std::string_view method, std::string_view path) const
{
    return this->current.read([&](const state& value) {
        return value.routes.find(host, method, path);
    });
}

std::optional<core::milliseconds> configuration_in_force::find_timeout(
    const core::kind_id& id) const
{
    return this->current.read(
        [&](const state& value) -> std::optional<core::milliseconds> {
            const auto kind = value.configuration
                ? value.configuration->find_kind(id)
                : std::nullopt;
            return kind ? std::optional(kind->get_timeout()) : std::nullopt;
        });
}

operators::ingress_limits configuration_in_force::ingress() const
{
    return this->current.read([](const state& value) {
        return value.configuration ? value.configuration->get_ingress_limits()
                                   : operators::ingress_limits();
    });
}

core::milliseconds configuration_in_force::max_timeout() const
{
    return this->current.read([](const state& value) {
        return value.configuration ? value.configuration->get_max_timeout()
                                   : core::milliseconds(1);
    });
}

} // namespace pollenward::main
