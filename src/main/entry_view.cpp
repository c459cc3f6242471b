#include "main/entry_view.hpp"

#include "operators/event_log.hpp"

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace pollenward::main {

namespace {

    /// The kind is the label of the series.
    void set_figures(operators::metrics& registry, const std::string& kind,
        const store_figures& figures)
    {
        const auto set = [&](const std::string& name, std::uint64_t value) {
            registry.set(
                name + "{kind=\"" + kind + "\"}", static_cast<double>(value));
        };
        const auto& position = figures.get_position();
        set("store_era", position.get_revision().get_era().get());
        set("store_revision", position.get_revision().get_number());
        set("store_age_ms",
            static_cast<std::uint64_t>(position.get_age().count()));
        set("store_replies_outdated", figures.get_outdated_replies());
        set("store_restores", figures.get_restores());
    }

} // namespace

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
    const auto now = core::runtime_clock::now();
    set_figures(
        this->registry, "configuration", this->configurations.figures(now));
    set_figures(this->registry, "workers", this->workers.figures(now));
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
