#include "main/worker_replica.hpp"

#include "main/store_events.hpp"
#include "operators/event.hpp"

#include <algorithm>
#include <map>
#include <set>

namespace pollenward::main {

namespace {

    operators::event describe(const char* name,
        const upstream::listed_worker& entry, core::store_revision revision,
        const char* source)
    {
        const upstream::worker& worker = entry.get_worker();
        return with_revision(operators::event::make(name)
                                 .with("worker", worker.get_id())
                                 .with("service", entry.get_service())
                                 .with("address", worker.get_address().str())
                                 .with("leaving", worker.is_leaving()),
            revision)
            .with("source", source);
    }

} // namespace

void worker_replica::put(const std::string& name,
    const upstream::listed_worker& entry, core::store_revision revision,
    const char* source)
{
    const upstream::listed_worker* before = this->listed.find(name);
    const bool has_changed = before == nullptr
        || before->get_worker() != entry.get_worker()
        || before->get_service() != entry.get_service();
    const bool is_stored = this->listed.put(name, entry);
    if (is_stored && has_changed)
    {
        operators::write(describe("worker.listed", entry, revision, source));
    }
    if (!is_stored)
    {
        operators::write(
            describe("worker.entry_outdated", entry, revision, source)
                .with("started_at_ms", entry.get_started_at_ms())
                .with("sequence", entry.get_sequence()));
    }
}

void worker_replica::restore(const std::vector<fleet::worker_change>& changes,
    core::store_revision revision, core::time_point now, const char* source)
{
    std::map<std::string, upstream::listed_worker> copy;
    std::vector<std::string> names;
    std::vector<std::string> removed;
    for (const fleet::worker_change& each : changes)
    {
        if (each.get_entry())
        {
            copy.insert_or_assign(each.get_name(), *each.get_entry());
        }
        (each.get_entry() ? names : removed).push_back(each.get_name());
    }
    std::map<std::string, upstream::listed_worker> before;
    for (const std::string& name : this->listed.names())
    {
        before.emplace(name, *this->listed.find(name));
    }
    this->listed.restore(copy, now);
    this->listed.remove(removed, now);
    const auto write
        = [&](const char* event_name, const upstream::listed_worker& entry) {
              operators::write(describe(event_name, entry, revision, source));
          };
    for (const auto& [name, entry] : before)
    {
        if (copy.count(name) == 0)
        {
            write(this->listed.find(name) == nullptr ? "worker.removed"
                                                     : "worker.missing",
                entry);
        }
    }
    for (const auto& [name, entry] : copy)
    {
        if (this->listed.find(name) == nullptr)
        {
            write("worker.withheld", entry);
        }
        else if (before.count(name) == 0)
        {
            write("worker.listed", entry);
        }
    }
    this->history.restart(names, revision);
    for (const std::string& name : removed)
    {
        this->history.on_change(name, revision, true);
    }
    this->changed_revision = revision;
    this->placement.store_listed(this->listed.workers());
}

void worker_replica::apply(const std::vector<fleet::worker_change>& changes,
    bool is_complete, core::store_revision revision, core::time_point now,
    const char* source)
{
    const auto own = this->freshness.get_revision();
    if (is_complete && own != core::store_revision()
        && own.get_era() < revision.get_era())
    {
        this->restore(changes, revision, now, source);
        return;
    }
    std::set<std::string> present;
    std::set<std::string> removed;
    std::map<std::string, std::optional<upstream::listed_worker>> last;
    for (const fleet::worker_change& each : changes)
    {
        last.insert_or_assign(each.get_name(), each.get_entry());
    }
    for (const auto& [name, entry] : last)
    {
        (entry ? present : removed).insert(name);
        if (entry)
        {
            this->put(name, *entry, revision, source);
        }
        this->history.on_change(name, revision, !entry);
    }
    const auto write_removed = [&](const std::string& name) {
        if (const auto* entry = this->listed.find(name))
        {
            operators::write(
                describe("worker.removed", *entry, revision, source));
        }
    };
    std::for_each(removed.begin(), removed.end(), write_removed);
    this->listed.remove({ removed.begin(), removed.end() }, now);
    if (is_complete)
    {
        for (const std::string& name : this->listed.names())
        {
            if (present.count(name) == 0)
            {
                write_removed(name);
            }
        }
        this->listed.keep_only(present, now);
        this->history.restart({ present.begin(), present.end() }, revision);
    }
    this->changed_revision = revision;
    this->placement.store_listed(this->listed.workers());
}

void worker_replica::on_listing(
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
    const auto own = this->freshness.get_revision();
    if (revision < own)
    {
        operators::write(
            with_revision(operators::event::make("store.reply_outdated")
                              .with("kind", "workers"),
                revision)
                .with("own_era", own.get_era().get())
                .with("own_revision", own.get_number()));
        this->counted = this->counted.after_outdated_reply();
        return;
    }
    this->apply(changes,
        received.get_status() == platform::listing_status::complete, revision,
        now, "store");
    this->freshness = this->freshness.after_store_reply(revision, now);
}

void worker_replica::on_unchanged(core::store_revision revision)
{
    const std::lock_guard lock(this->mutex);
    this->freshness = this->freshness.after_store_reply(
        revision, core::runtime_clock::now());
}

void worker_replica::on_store_lost(const core::error& cause)
{
    write_lost("workers", cause);
}

void worker_replica::on_store_regained()
{
    const std::lock_guard lock(this->mutex);
    this->listed.on_outage_end(
        core::runtime_clock::now(), this->freshness.last_reply());
    write_regained("workers");
}

void worker_replica::on_era_unstated()
{
    write_era_unstated("workers");
}

void worker_replica::on_store_restored(core::store_revision from,
    core::store_revision to, core::duration reread_time)
{
    const std::lock_guard lock(this->mutex);
    this->counted
        = note_listed_era(this->counted, "workers", from, to, reread_time);
}

bool worker_replica::needs_store(core::time_point now) const
{
    const std::lock_guard lock(this->mutex);
    return this->role.is_reader() || !this->freshness.can_rely_on_peers(now);
}

core::store_revision worker_replica::known_revision() const
{
    const std::lock_guard lock(this->mutex);
    return this->freshness.get_revision();
}

core::time_point worker_replica::get_expiry() const
{
    const std::lock_guard lock(this->mutex);
    return this->listed.get_expiry();
}

void worker_replica::expire()
{
    const std::lock_guard lock(this->mutex);
    const bool has_removed
        = this->listed.remove_missing(core::runtime_clock::now());
    const bool has_released
        = this->listed.release_withheld(this->freshness.last_reply());
    if (has_removed)
    {
        operators::write(operators::event::make("worker.not_back"));
    }
    if (has_released)
    {
        operators::write(operators::event::make("worker.released"));
    }
    if (has_removed || has_released)
    {
        this->placement.store_listed(this->listed.workers());
    }
}

fleet::store_position worker_replica::position(core::time_point now) const
{
    const std::lock_guard lock(this->mutex);
    return this->to_position(this->freshness.position(now));
}

fleet::store_position worker_replica::own_position(core::time_point now) const
{
    const std::lock_guard lock(this->mutex);
    return this->to_position(this->freshness.own_position(now));
}

fleet::store_position worker_replica::to_position(
    const fleet::store_position& current) const
{
    return this->listed.keeps_expired() ? fleet::store_position::make(
               current.get_revision(), fleet::store_position::age_if_never_read)
                                        : current;
}

bool worker_replica::matches_store() const
{
    const std::lock_guard lock(this->mutex);
    return this->listed.matches_store();
}

store_figures worker_replica::figures(core::time_point now) const
{
    const std::lock_guard lock(this->mutex);
    return this->counted.with_position(this->freshness.position(now));
}

core::store_revision worker_replica::last_changed_revision() const
{
    const std::lock_guard lock(this->mutex);
    return this->changed_revision;
}

std::vector<fleet::worker_change> worker_replica::describe_all(
    const std::vector<std::string>& names) const
{
    std::vector<fleet::worker_change> changes;
    changes.reserve(names.size());
    for (const std::string& name : names)
    {
        changes.push_back(
            fleet::worker_change::make(name, this->listed.find_listed(name)));
    }
    return changes;
}

std::optional<fleet::worker_changes> worker_replica::changes_since(
    core::store_revision peer_revision, core::store_revision stated) const
{
    const std::lock_guard lock(this->mutex);
    const auto own = this->freshness.get_revision();
    if (peer_revision >= own || stated.get_era() != own.get_era()
        || this->listed.keeps_expired())
    {
        return std::nullopt;
    }
    if (const auto names = this->history.changed_since(peer_revision))
    {
        return fleet::worker_changes::since(
            peer_revision, this->describe_all(*names));
    }
    auto all = this->describe_all(this->listed.listed_names());
    if (peer_revision != core::store_revision()
        && peer_revision.get_era() < own.get_era())
    {
        // A peer that follows the restore keeps the workers that the list
        // lacks, unless it shows that they were removed afterwards.
        const auto removed = this->describe_all(this->history.removed_names());
        all.insert(all.end(), removed.begin(), removed.end());
    }
    return fleet::worker_changes::complete(std::move(all));
}

void worker_replica::merge(
    const fleet::store_state& received, core::time_point now)
{
    const std::lock_guard lock(this->mutex);
    const auto& changes = received.get_changes();
    const auto revision = received.get_workers().get_revision();
    const auto own_revision = this->freshness.get_revision();
    const bool is_applicable = changes
        && (!changes->get_start() || *changes->get_start() <= own_revision);
    if (is_applicable && revision > own_revision)
    {
        if (!changes->get_changes().empty() || !changes->get_start())
        {
            this->apply(changes->get_changes(), !changes->get_start(), revision,
                now, "daemon");
        }
        this->freshness = this->freshness.with_revision_at_least(revision);
        this->counted
            = note_merged_era(this->counted, "workers", own_revision, revision);
    }
    this->freshness
        = this->freshness.after_peer_report(received.get_workers(), now);
}

} // namespace pollenward::main
