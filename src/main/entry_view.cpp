#include "main/entry_view.hpp"

#include "operators/event_log.hpp"

#include <utility>
#include <vector>

namespace pollenward::main {

operators::fleet_status entry_view::status()
{
    const auto number = this->configuration.get_number();
    const auto self = this->zone.self().get_id();
    return operators::fleet_status::make(
        self, number, { operators::daemon_version::make(self, number) });
}

operators::metrics_snapshot entry_view::metrics()
{
    this->registry.set("configuration_number",
        static_cast<double>(this->configuration.get_number().get()));
    this->registry.set(
        "workers_listed", static_cast<double>(this->placement.count_listed()));
    this->registry.set(
        "daemons_listed", static_cast<double>(this->zone.members().size()));
    const auto notices = this->placement.get_notices().count();
    this->registry.set(
        "workers_said_leaving", static_cast<double>(notices.leaving));
    this->registry.set("worker_pauses", static_cast<double>(notices.pauses));
    this->registry.set("worker_pauses_unreadable",
        static_cast<double>(notices.unreadable_pauses));
    this->registry.set("log_lines_dropped",
        static_cast<double>(operators::event_log::instance().count_dropped()));
    return this->registry.snapshot();
}

std::optional<operators::configuration> entry_view::configuration_in_force()
{
    return this->configuration.get();
}

bool entry_view::is_ready()
{
    return !this->draining
        && this->configuration.get_number() > core::version_number(0)
        && this->placement.count_listed() != 0;
}

boost::asio::awaitable<operators::patch_reply> entry_view::apply(
    operators::patch /*wanted*/)
{
    co_return operators::patch_reply::make(
        operators::patch_outcome::unavailable, {},
        { core::error::make("apply patch", "self",
            "the configuration is changed in the platform's store") });
}

} // namespace pollenward::main
