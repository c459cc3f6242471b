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

    /// Without a claim roster, requests that need a claim are refused, so a new
    /// daemon waits for it before it is ready. The limit lets a daemon become
    /// ready while the platform is unreachable.
    constexpr core::seconds max_roster_wait{ 10 };

    std::string with_label(const std::string& name, const std::string& label,
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
    this->update_fleet_metrics();
    this->update_traffic_metrics(
        "sent", this->parts.fleet.get_transport().count_sent());
    this->update_traffic_metrics(
        "received", this->parts.fleet.get_transport().count_received());
    this->update_claim_metrics();
    this->update_worker_metrics();
    this->update_platform_metrics();
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
        = core::runtime_clock::now() - this->started_at >= max_roster_wait;
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
        co_await this->parts.publisher.refresh(configuration_document);
    }
    const auto current = this->parts.configuration.get();
    if (reply.get_outcome() == operators::patch_outcome::unavailable && current)
    {
        // A restore may have removed the configuration from the store; the
        // watchers do not notice a missing object.
        co_await this->patches.write_back(*current);
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

void admin_view::update_fleet_metrics()
{
    auto& metrics = this->parts.metrics;
    const auto members = this->parts.fleet.members();
    const auto live = std::count_if(members.begin(), members.end(),
        [](const fleet::member& each) { return each.is_live(); });
    metrics.set("members_live", static_cast<double>(live));
    metrics.set("members_known", static_cast<double>(members.size()));
    metrics.set("configuration_number",
        static_cast<double>(this->parts.configuration.get_number().get()));
    metrics.set("document_conflicts",
        static_cast<double>(this->parts.fleet.count_conflicts()));
    metrics.set("fleet_messages_invalid",
        static_cast<double>(this->parts.fleet.get_transport().count_invalid()));
    metrics.set("requests_in_flight",
        static_cast<double>(this->parts.count_in_flight()));
    metrics.set("requests_on_guard",
        static_cast<double>(this->parts.guard.get_guard().size()));
    metrics.set("connections_gone_silent",
        static_cast<double>(this->parts.dispatcher.count_faulty_connections()));
}

void admin_view::update_traffic_metrics(
    const std::string& direction, const fleet::traffic_counts& counts)
{
    for (std::size_t i = 0; i < counts.size(); ++i)
    {
        const auto type = fleet::message_type_names[i];
        this->parts.metrics.set(
            with_label("fleet_messages_" + direction, "type", type),
            static_cast<double>(counts[i].get_messages()));
        this->parts.metrics.set(
            with_label("fleet_bytes_" + direction, "type", type),
            static_cast<double>(counts[i].get_bytes()));
    }
}

void admin_view::update_claim_metrics()
{
    auto& metrics = this->parts.metrics;
    auto& claims = this->parts.claims;
    metrics.set("claims_held", static_cast<double>(claims.size()));
    metrics.set("claim_partitions_unready",
        static_cast<double>(claims.count_unready(core::runtime_clock::now())));
    metrics.set("claim_roster_version",
        static_cast<double>(claims.get_roster().get_version().get()));
    metrics.set("claims_granted",
        static_cast<double>(claims.count(caller::claim_status::granted)));
    metrics.set("claims_duplicate",
        static_cast<double>(claims.count(caller::claim_status::duplicate)));
    metrics.set("claims_refused",
        static_cast<double>(claims.count(caller::claim_status::refused)));
}

void admin_view::update_worker_metrics()
{
    auto& metrics = this->parts.metrics;
    const auto now = core::runtime_clock::now();
    for (const auto& service : this->parts.configuration.get_services())
    {
        const auto& id = service.get_id();
        metrics.set(with_label("workers_usable", "service", id.str()),
            static_cast<double>(this->parts.standings.find(id).size()));
        metrics.set(with_label("workers_ejected", "service", id.str()),
            static_cast<double>(this->parts.standings.count_ejected(id, now)));
    }
}

void admin_view::update_platform_metrics()
{
    auto& metrics = this->parts.metrics;
    const auto& store = this->parts.store;
    const auto show = [&](std::string_view kind, platform::call_kind value) {
        metrics.set(with_label("platform_calls", "kind", kind),
            static_cast<double>(store.count_calls(value)));
    };
    show("get", platform::call_kind::get);
    show("put", platform::call_kind::put);
    show("watch", platform::call_kind::watch);
    metrics.set("platform_watching", this->parts.sync.is_watching() ? 1 : 0);
    metrics.set("platform_watch_failures",
        static_cast<double>(this->parts.sync.count_failures()));
    metrics.set("platform_restores",
        static_cast<double>(this->parts.sync.count_restores()));
    metrics.set("platform_old_objects",
        static_cast<double>(this->parts.publisher.count_old_objects()));
}

} // namespace pollenward::main
