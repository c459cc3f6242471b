#include "main/admin_view.hpp"

#include "fleet/message.hpp"
#include "main/document_names.hpp"

#include <algorithm>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace pollenward::main {

namespace {

    /// Without a claim roster, claimed requests are refused. A new daemon waits
    /// for it before it takes requests, but not for a platform that is away.
    constexpr core::seconds longest_roster_wait{ 10 };

    std::string labelled(const std::string& name, const std::string& label,
        std::string_view value)
    {
        return name + "{" + label + "=\"" + std::string(value) + "\"}";
    }

} // namespace

admin_view::admin_view(admin_parts parts)
    : parts(std::move(parts))
    , patches(this->parts.store, std::random_device()())
{
}

operators::fleet_status admin_view::status()
{
    std::vector<operators::daemon_version> versions;
    for (const fleet::member& each : this->parts.fleet.members())
    {
        if (each.is_live())
        {
            versions.push_back(operators::daemon_version::make(
                each.get_id(), each.get_version_in_force()));
        }
    }
    return operators::fleet_status::make(this->parts.fleet.self().get_id(),
        this->parts.configuration.get_number(), std::move(versions));
}

operators::metrics_snapshot admin_view::metrics()
{
    this->show_fleet();
    this->show_traffic("sent", this->parts.fleet.get_transport().count_sent());
    this->show_traffic(
        "received", this->parts.fleet.get_transport().count_received());
    this->show_claims();
    this->show_workers();
    this->show_platform();
    return this->parts.metrics.snapshot();
}

std::optional<operators::configuration> admin_view::configuration_in_force()
{
    return this->parts.configuration.get();
}

bool admin_view::is_ready()
{
    const core::version_number none(0);
    const bool has_roster
        = this->parts.claims.get_roster().get_version() > none;
    const bool has_waited
        = core::runtime_clock::now() - this->started_at >= longest_roster_wait;
    return !this->draining && this->parts.configuration.get_number() > none
        && (has_roster || has_waited);
}

boost::asio::awaitable<operators::patch_reply> admin_view::apply(
    operators::patch wanted)
{
    auto reply = co_await this->patches.apply(
        std::move(wanted), this->highest_in_force());
    if (reply.is_applied())
    {
        co_await this->parts.intake.refresh(configuration_document);
    }
    const auto held = this->parts.configuration.get();
    if (reply.get_outcome() == operators::patch_outcome::unavailable && held)
    {
        // The store may have lost the configuration in a restore; the watchers
        // do not notice an object that is gone.
        co_await this->patches.write_back(*held);
    }
    co_return reply;
}

core::version_number admin_view::highest_in_force() const
{
    auto highest = this->parts.configuration.get_number();
    for (const fleet::member& each : this->parts.fleet.members())
    {
        highest = std::max(highest, each.get_version_in_force());
    }
    return highest;
}

void admin_view::show_fleet()
{
    auto& shown = this->parts.metrics;
    const auto members = this->parts.fleet.members();
    const auto live = std::count_if(members.begin(), members.end(),
        [](const fleet::member& each) { return each.is_live(); });
    shown.set("members_live", static_cast<double>(live));
    shown.set("members_known", static_cast<double>(members.size()));
    shown.set("configuration_number",
        static_cast<double>(this->parts.configuration.get_number().get()));
    shown.set("document_conflicts",
        static_cast<double>(this->parts.fleet.count_conflicts()));
    shown.set("fleet_messages_invalid",
        static_cast<double>(this->parts.fleet.get_transport().count_invalid()));
    shown.set("requests_in_flight",
        static_cast<double>(this->parts.count_in_flight()));
    shown.set("requests_on_guard",
        static_cast<double>(this->parts.guard.get_guard().size()));
    shown.set("connections_gone_silent",
        static_cast<double>(this->parts.dispatcher.count_faulty_connections()));
}

void admin_view::show_traffic(
    const std::string& direction, const fleet::traffic_counts& counts)
{
    for (std::size_t i = 0; i < counts.size(); ++i)
    {
        const auto type = fleet::message_type_names[i];
        this->parts.metrics.set(
            labelled("fleet_messages_" + direction, "type", type),
            static_cast<double>(counts[i].get_messages()));
        this->parts.metrics.set(
            labelled("fleet_bytes_" + direction, "type", type),
            static_cast<double>(counts[i].get_bytes()));
    }
}

void admin_view::show_claims()
{
    auto& shown = this->parts.metrics;
    auto& claims = this->parts.claims;
    shown.set("claims_held", static_cast<double>(claims.size()));
    shown.set("claim_partitions_unready",
        static_cast<double>(claims.count_unready(core::runtime_clock::now())));
    shown.set("claim_roster_version",
        static_cast<double>(claims.get_roster().get_version().get()));
    shown.set("claims_granted",
        static_cast<double>(claims.count(caller::claim_status::granted)));
    shown.set("claims_duplicate",
        static_cast<double>(claims.count(caller::claim_status::duplicate)));
    shown.set("claims_refused",
        static_cast<double>(claims.count(caller::claim_status::refused)));
}

void admin_view::show_workers()
{
    auto& shown = this->parts.metrics;
    const auto now = core::runtime_clock::now();
    for (const auto& service : this->parts.configuration.get_services())
    {
        const auto& id = service.get_id();
        shown.set(labelled("workers_usable", "service", id.str()),
            static_cast<double>(this->parts.standings.find(id).size()));
        shown.set(labelled("workers_ejected", "service", id.str()),
            static_cast<double>(this->parts.standings.count_ejected(id, now)));
    }
}

void admin_view::show_platform()
{
    auto& shown = this->parts.metrics;
    const auto& store = this->parts.store;
    const auto show = [&](std::string_view kind, platform::call_kind value) {
        shown.set(labelled("platform_calls", "kind", kind),
            static_cast<double>(store.count_calls(value)));
    };
    show("get", platform::call_kind::get);
    show("put", platform::call_kind::put);
    show("watch", platform::call_kind::watch);
    shown.set("platform_watching", this->parts.sync.is_watching() ? 1 : 0);
    shown.set("platform_watch_failures",
        static_cast<double>(this->parts.sync.count_failures()));
    shown.set("platform_restores",
        static_cast<double>(this->parts.sync.count_restores()));
    shown.set("platform_old_objects",
        static_cast<double>(this->parts.intake.count_old_objects()));
}

} // namespace pollenward::main
