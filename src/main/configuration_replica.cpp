#include "main/configuration_replica.hpp"

#include "main/store_events.hpp"
#include "operators/event.hpp"

namespace pollenward::main {

void configuration_replica::on_listing(
    const platform::listing<operators::configuration>& received)
{
    for (const auto& each : received.get_objects())
    {
        if (each.get_value())
        {
            this->install(*each.get_value(), "store");
        }
    }
    this->on_unchanged(received.get_revision());
}

void configuration_replica::install(
    const operators::configuration& next, const char* source)
{
    const std::lock_guard lock(this->mutex);
    if (!this->configuration.store(next))
    {
        const auto number = this->configuration.get_number();
        if (next.get_number() < number)
        {
            operators::write(
                with_revision(operators::event::make("configuration.outdated")
                                  .with("number", next.get_number().get())
                                  .with("own_number", number.get()),
                    this->freshness.get_revision())
                    .with("source", source));
        }
        return;
    }
    this->changes.on_version(next);
    operators::write(
        with_revision(operators::event::make("configuration.in_force")
                          .with("number", next.get_number().get())
                          .with("routes", next.get_routes().size()),
            this->freshness.get_revision())
            .with("source", source));
}

void configuration_replica::on_unchanged(core::store_revision revision)
{
    const std::lock_guard lock(this->mutex);
    this->freshness = this->freshness.after_store_reply(
        revision, core::runtime_clock::now());
}

void configuration_replica::on_store_lost(const core::error& cause)
{
    write_lost("configuration", cause);
}

void configuration_replica::on_store_regained()
{
    write_regained("configuration");
}

void configuration_replica::on_era_unstated()
{
    write_era_unstated("configuration");
}

void configuration_replica::on_store_restored(core::store_revision from,
    core::store_revision to, core::duration reread_time)
{
    const std::lock_guard lock(this->mutex);
    this->counted = note_listed_era(
        this->counted, "configuration", from, to, reread_time);
}

bool configuration_replica::needs_store(core::time_point now) const
{
    const std::lock_guard lock(this->mutex);
    return this->role.is_reader() || !this->freshness.can_rely_on_peers(now);
}

core::store_revision configuration_replica::known_revision() const
{
    const std::lock_guard lock(this->mutex);
    return this->freshness.get_revision();
}

core::version_number configuration_replica::number() const
{
    return this->configuration.get_number();
}

fleet::store_position configuration_replica::position(
    core::time_point now) const
{
    const std::lock_guard lock(this->mutex);
    return this->freshness.position(now);
}

fleet::store_position configuration_replica::own_position(
    core::time_point now) const
{
    const std::lock_guard lock(this->mutex);
    return this->freshness.own_position(now);
}

store_figures configuration_replica::figures(core::time_point now) const
{
    const std::lock_guard lock(this->mutex);
    return this->counted.with_position(this->freshness.position(now));
}

std::optional<operators::configuration> configuration_replica::in_force() const
{
    return this->configuration.get();
}

operators::configuration_part configuration_replica::part_after(
    const operators::configuration_request& request) const
{
    const std::lock_guard lock(this->mutex);
    return this->changes.part_after(request);
}

void configuration_replica::on_transfer(
    const operators::configuration& received)
{
    this->install(received, "daemon");
}

void configuration_replica::merge(
    const fleet::store_state& received, core::time_point now)
{
    if (this->number() < received.get_configuration_number())
    {
        return;
    }
    const std::lock_guard lock(this->mutex);
    const auto own_revision = this->freshness.get_revision();
    this->freshness = this->freshness
                          .with_revision_at_least(
                              received.get_configuration().get_revision())
                          .after_peer_report(received.get_configuration(), now);
    this->counted = note_merged_era(this->counted, "configuration",
        own_revision, this->freshness.get_revision());
}

} // namespace pollenward::main
