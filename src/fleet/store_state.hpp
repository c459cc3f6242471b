#pragma once

#include "core/runtime_clock.hpp"
#include "core/store_revision.hpp"
#include "core/units.hpp"
#include "upstream/listed_worker.hpp"

#include <compare>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace pollenward::fleet {

/// How current a daemon's copy of one kind of the store's objects is: its
/// revision, and the time since the store last replied.
class store_position {
public:
    /// Age of objects that were never read: one hour.
    static constexpr core::milliseconds age_if_never_read{ 3'600'000 };

    static store_position make(
        core::store_revision revision, core::milliseconds age)
    {
        store_position made;
        made.revision = revision;
        made.age = age;
        return made;
    }

    core::store_revision get_revision() const { return this->revision; }
    core::milliseconds get_age() const { return this->age; }

    auto operator<=>(const store_position&) const = default;

private:
    core::store_revision revision;
    core::milliseconds age = age_if_never_read;
};

/// A worker's entry as it is now, or its name if it was removed.
class worker_change {
public:
    static worker_change make(
        std::string name, std::optional<upstream::listed_worker> entry)
    {
        worker_change made;
        made.name = std::move(name);
        made.entry = std::move(entry);
        return made;
    }

    const std::string& get_name() const { return this->name; }
    const std::optional<upstream::listed_worker>& get_entry() const
    {
        return this->entry;
    }

    auto operator<=>(const worker_change&) const = default;

private:
    std::string name;
    std::optional<upstream::listed_worker> entry;
};

/// The workers that changed after one revision of the store, or all workers.
class worker_changes {
public:
    static worker_changes since(
        core::store_revision revision, std::vector<worker_change> changes)
    {
        worker_changes made;
        made.start = revision;
        made.changes = std::move(changes);
        return made;
    }

    static worker_changes complete(std::vector<worker_change> all)
    {
        worker_changes made;
        made.changes = std::move(all);
        return made;
    }

    /// Nothing if these are all workers.
    const std::optional<core::store_revision>& get_start() const
    {
        return this->start;
    }
    const std::vector<worker_change>& get_changes() const
    {
        return this->changes;
    }

    auto operator<=>(const worker_changes&) const = default;

private:
    std::optional<core::store_revision> start;
    std::vector<worker_change> changes;
};

/// The positions of a daemon's copy of the store, and the changes of workers
/// that its peer lacks. Sent both ways between the daemons of a zone. A daemon
/// with an older configuration requests the parts that it lacks.
class store_state {
public:
    static store_state make(core::version_number configuration_number,
        store_position configuration, store_position workers)
    {
        store_state made;
        made.number = configuration_number;
        made.configuration = configuration;
        made.workers = workers;
        return made;
    }

    store_state with_changes(worker_changes changed) const
    {
        store_state next = *this;
        next.changes = std::move(changed);
        return next;
    }

    /// A copy without the content that the peer lacks.
    store_state without_content() const
    {
        return make(this->number, this->configuration, this->workers);
    }

    core::version_number get_configuration_number() const
    {
        return this->number;
    }
    const store_position& get_configuration() const
    {
        return this->configuration;
    }
    const store_position& get_workers() const { return this->workers; }
    /// Nothing if the peer has all changes.
    const std::optional<worker_changes>& get_changes() const
    {
        return this->changes;
    }

    auto operator<=>(const store_state&) const = default;

private:
    core::version_number number;
    store_position configuration;
    store_position workers;
    std::optional<worker_changes> changes;
};

} // namespace pollenward::fleet
