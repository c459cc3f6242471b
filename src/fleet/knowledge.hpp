#pragma once

#include "core/runtime_clock.hpp"
#include "core/units.hpp"
#include "upstream/listed_worker.hpp"

#include <compare>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace pollenward::fleet {

/// How far a daemon knows one kind of the store's objects: up to which
/// revision, and how long ago the store was heard.
class knowledge_mark {
public:
    /// Age of what was never heard.
    static constexpr core::milliseconds never{ 3'600'000 };

    static knowledge_mark make(
        core::store_revision revision, core::milliseconds age)
    {
        knowledge_mark made;
        made.revision = revision;
        made.age = age;
        return made;
    }

    core::store_revision get_revision() const { return this->revision; }
    core::milliseconds get_age() const { return this->age; }

    auto operator<=>(const knowledge_mark&) const = default;

private:
    core::store_revision revision{ 0 };
    core::milliseconds age = never;
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

/// The workers that changed after one revision of the store, or all of them.
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

/// What a daemon knows from the store, and what its peer lacks of it. Sent
/// both ways between the daemons of a zone.
class knowledge {
public:
    static knowledge make(core::version_number configuration_number,
        knowledge_mark configuration, knowledge_mark workers)
    {
        knowledge made;
        made.number = configuration_number;
        made.configuration = configuration;
        made.workers = workers;
        return made;
    }

    knowledge with_configuration(std::string document) const
    {
        knowledge next = *this;
        next.document = std::move(document);
        return next;
    }

    knowledge with_changes(worker_changes changed) const
    {
        knowledge next = *this;
        next.changes = std::move(changed);
        return next;
    }

    /// The same without what the peer lacks.
    knowledge without_content() const
    {
        return make(this->number, this->configuration, this->workers);
    }

    core::version_number get_configuration_number() const
    {
        return this->number;
    }
    const knowledge_mark& get_configuration() const
    {
        return this->configuration;
    }
    const knowledge_mark& get_workers() const { return this->workers; }
    /// The configuration as operators::encode_configuration gives it; empty if
    /// the peer has it.
    const std::string& get_document() const { return this->document; }
    /// Nothing if the peer knows all.
    const std::optional<worker_changes>& get_changes() const
    {
        return this->changes;
    }

    auto operator<=>(const knowledge&) const = default;

private:
    core::version_number number;
    knowledge_mark configuration;
    knowledge_mark workers;
    std::string document;
    std::optional<worker_changes> changes;
};

} // namespace pollenward::fleet
