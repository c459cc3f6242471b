#include "main/entry_intake.hpp"

#include "operators/configuration_json.hpp"
#include "operators/event.hpp"

#include <set>

namespace pollenward::main {

namespace {

    operators::event describe(
        const char* name, const upstream::listed_worker& entry)
    {
        const upstream::worker& who = entry.get_worker();
        return operators::event::make(name)
            .with("worker", who.get_id())
            .with("service", entry.get_service())
            .with("address", who.get_address().str())
            .with("leaving", who.is_leaving());
    }

    void write_lost(const char* kind, const core::error& cause)
    {
        operators::write(operators::event::make("store.lost")
                             .with("kind", kind)
                             .with("cause", cause));
    }

    void write_regained(const char* kind)
    {
        operators::write(
            operators::event::make("store.regained").with("kind", kind));
    }

} // namespace

void configuration_intake::on_listing(
    const platform::listing<operators::configuration>& received)
{
    for (const auto& each : received.get_objects())
    {
        if (each.get_value())
        {
            this->take_into_force(
                *each.get_value(), received.get_revision(), "store");
        }
    }
    this->on_unchanged(received.get_revision());
}

void configuration_intake::take_into_force(const operators::configuration& next,
    core::store_revision revision, const char* source)
{
    if (this->configuration.store(next))
    {
        operators::write(operators::event::make("configuration.in_force")
                             .with("number", next.get_number().get())
                             .with("routes", next.get_routes().size())
                             .with("revision", revision.get())
                             .with("source", source));
    }
}

void configuration_intake::on_unchanged(core::store_revision revision)
{
    const std::lock_guard lock(this->mutex);
    this->contact = this->contact.heard(revision, core::runtime_clock::now());
}

void configuration_intake::on_store_lost(const core::error& cause)
{
    write_lost("configuration", cause);
}

void configuration_intake::on_store_regained()
{
    write_regained("configuration");
}

bool configuration_intake::needs_store(core::time_point now) const
{
    const std::lock_guard lock(this->mutex);
    return this->duty.is_mine() || !this->contact.relies_on_others(now);
}

core::store_revision configuration_intake::known_revision() const
{
    const std::lock_guard lock(this->mutex);
    return this->contact.get_revision();
}

core::version_number configuration_intake::number() const
{
    return this->configuration.get_number();
}

fleet::store_position configuration_intake::mark(core::time_point now) const
{
    const std::lock_guard lock(this->mutex);
    return this->contact.mark(now);
}

fleet::store_position configuration_intake::own_mark(core::time_point now) const
{
    const std::lock_guard lock(this->mutex);
    return this->contact.own_mark(now);
}

std::string configuration_intake::document_above(
    core::version_number known) const
{
    const auto present = this->configuration.get();
    return present && present->get_number() > known
        ? operators::encode_configuration(*present)
        : std::string();
}

void configuration_intake::take(
    const fleet::store_state& told, core::time_point now)
{
    const auto revision = told.get_configuration().get_revision();
    if (!told.get_document().empty())
    {
        std::vector<core::error> reasons;
        const auto next
            = operators::decode_configuration(told.get_document(), reasons);
        if (!next)
        {
            operators::write(
                operators::event::make("configuration.unreadable")
                    .with("number", told.get_configuration_number().get())
                    .with("cause", reasons.front()));
            return;
        }
        this->take_into_force(*next, revision, "daemon");
    }
    if (this->number() < told.get_configuration_number())
    {
        return;
    }
    const std::lock_guard lock(this->mutex);
    this->contact
        = this->contact.advanced(revision).told(told.get_configuration(), now);
}

void worker_intake::put(
    const std::string& name, const upstream::listed_worker& entry)
{
    const upstream::listed_worker* before = this->known.find(name);
    const bool is_told = before == nullptr
        || before->get_worker() != entry.get_worker()
        || before->get_service() != entry.get_service();
    if (is_told)
    {
        operators::write(describe("worker.listed", entry));
    }
    this->known.put(name, entry);
}

void worker_intake::apply(const std::vector<fleet::worker_change>& changes,
    bool is_complete, core::store_revision revision, core::time_point now)
{
    std::set<std::string> present;
    std::set<std::string> removed;
    for (const fleet::worker_change& each : changes)
    {
        const std::string& name = each.get_name();
        if (each.get_entry())
        {
            present.insert(name);
            removed.erase(name);
            this->put(name, *each.get_entry());
        }
        else
        {
            present.erase(name);
            removed.insert(name);
        }
        this->history.on_change(name, revision, !each.get_entry());
    }
    for (const std::string& name : removed)
    {
        if (const auto* gone = this->known.find(name))
        {
            operators::write(describe("worker.removed", *gone));
        }
    }
    this->known.remove({ removed.begin(), removed.end() }, now);
    if (is_complete)
    {
        this->known.keep_only(present, now);
        this->history.restart({ present.begin(), present.end() }, revision);
    }
    this->changed_at = revision;
    this->board.store_listed(this->known.workers());
}

void worker_intake::on_listing(
    const platform::listing<upstream::listed_worker>& received)
{
    std::vector<fleet::worker_change> changes;
    for (const auto& each : received.get_objects())
    {
        changes.push_back(
            fleet::worker_change::make(each.get_name(), each.get_value()));
    }
    const std::lock_guard lock(this->mutex);
    const auto now = core::runtime_clock::now();
    const auto revision = received.get_revision();
    this->apply(changes,
        received.get_status() == platform::listing_status::complete, revision,
        now);
    this->contact = this->contact.heard(revision, now);
}

void worker_intake::on_unchanged(core::store_revision revision)
{
    const std::lock_guard lock(this->mutex);
    this->contact = this->contact.heard(revision, core::runtime_clock::now());
}

void worker_intake::on_store_lost(const core::error& cause)
{
    write_lost("workers", cause);
}

void worker_intake::on_store_regained()
{
    const std::lock_guard lock(this->mutex);
    this->known.on_outage_end(core::runtime_clock::now());
    write_regained("workers");
}

bool worker_intake::needs_store(core::time_point now) const
{
    const std::lock_guard lock(this->mutex);
    return this->duty.is_mine() || !this->contact.relies_on_others(now);
}

core::store_revision worker_intake::known_revision() const
{
    const std::lock_guard lock(this->mutex);
    return this->contact.get_revision();
}

core::time_point worker_intake::get_expiry() const
{
    const std::lock_guard lock(this->mutex);
    return this->known.get_expiry();
}

void worker_intake::expire()
{
    const std::lock_guard lock(this->mutex);
    if (this->known.expire(core::runtime_clock::now()))
    {
        operators::write(operators::event::make("worker.not_back"));
        this->board.store_listed(this->known.workers());
    }
}

fleet::store_position worker_intake::mark(core::time_point now) const
{
    const std::lock_guard lock(this->mutex);
    return this->known.matches_store() ? this->contact.mark(now)
                                       : fleet::store_position();
}

fleet::store_position worker_intake::own_mark(core::time_point now) const
{
    const std::lock_guard lock(this->mutex);
    return this->known.matches_store() ? this->contact.own_mark(now)
                                       : fleet::store_position();
}

core::store_revision worker_intake::last_change() const
{
    const std::lock_guard lock(this->mutex);
    return this->changed_at;
}

std::vector<fleet::worker_change> worker_intake::describe_all(
    const std::vector<std::string>& names) const
{
    std::vector<fleet::worker_change> changes;
    changes.reserve(names.size());
    for (const std::string& name : names)
    {
        const auto* entry = this->known.find(name);
        changes.push_back(fleet::worker_change::make(
            name, entry == nullptr ? std::nullopt : std::optional(*entry)));
    }
    return changes;
}

std::optional<fleet::worker_changes> worker_intake::changes_since(
    core::store_revision known) const
{
    const std::lock_guard lock(this->mutex);
    if (known >= this->contact.get_revision() || !this->known.matches_store())
    {
        return std::nullopt;
    }
    const auto names = this->history.changed_since(known);
    return names
        ? fleet::worker_changes::since(known, this->describe_all(*names))
        : fleet::worker_changes::complete(
            this->describe_all(this->known.names()));
}

void worker_intake::take(const fleet::store_state& told, core::time_point now)
{
    const std::lock_guard lock(this->mutex);
    const auto& changes = told.get_changes();
    const auto revision = told.get_workers().get_revision();
    const auto mine = this->contact.get_revision();
    const bool fits
        = changes && (!changes->get_start() || *changes->get_start() <= mine);
    if (fits && revision > mine)
    {
        if (!changes->get_changes().empty() || !changes->get_start())
        {
            this->apply(
                changes->get_changes(), !changes->get_start(), revision, now);
        }
        this->contact = this->contact.advanced(revision);
    }
    this->contact = this->contact.told(told.get_workers(), now);
}

} // namespace pollenward::main
