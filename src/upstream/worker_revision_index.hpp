#pragma once

#include "core/store_revision.hpp"
#include "core/units.hpp"

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace pollenward::upstream {

/// The store revision at which each worker's entry last changed, used to send
/// another daemon the changes that it missed. Not thread-safe.
class worker_revision_index {
public:
    /// Removed entries that are kept: many times the departures per hour that
    /// the fleet is planned for.
    static constexpr std::size_t max_removed = 2000;

    /// Resets the index to a complete list. Entries that were added and removed
    /// between two lists are not known.
    void restart(
        const std::vector<std::string>& names, core::store_revision revision)
    {
        this->changed_at.clear();
        this->removed_count = 0;
        this->first_revision = revision;
        for (const std::string& name : names)
        {
            this->changed_at.insert_or_assign(name, change{ revision, false });
        }
    }

    void on_change(
        const std::string& name, core::store_revision revision, bool is_removed)
    {
        const auto found = this->changed_at.find(name);
        const bool was_removed
            = found != this->changed_at.end() && found->second.is_removed;
        this->removed_count += is_removed ? 1 : 0;
        this->removed_count -= was_removed ? 1 : 0;
        this->changed_at.insert_or_assign(name, change{ revision, is_removed });
        if (this->removed_count > max_removed)
        {
            this->drop_removed(revision);
        }
    }

    /// Names that changed after `revision`; nothing if `revision` is older than
    /// the index.
    std::optional<std::vector<std::string>> changed_since(
        core::store_revision revision) const
    {
        if (!this->first_revision || revision < *this->first_revision)
        {
            return std::nullopt;
        }
        std::vector<std::string> names;
        for (const auto& [name, each] : this->changed_at)
        {
            if (each.at > revision)
            {
                names.push_back(name);
            }
        }
        return names;
    }

    /// Names that were removed since the last complete list, as far as they are
    /// kept.
    std::vector<std::string> removed_names() const
    {
        std::vector<std::string> names;
        for (const auto& [name, each] : this->changed_at)
        {
            if (each.is_removed)
            {
                names.push_back(name);
            }
        }
        return names;
    }

private:
    struct change {
        core::store_revision at;
        bool is_removed = false;
    };

    void drop_removed(core::store_revision revision)
    {
        std::erase_if(this->changed_at,
            [](const auto& each) { return each.second.is_removed; });
        this->removed_count = 0;
        this->first_revision = revision;
    }

    std::map<std::string, change> changed_at;
    std::size_t removed_count = 0;
    /// Changes before this revision are not known.
    std::optional<core::store_revision> first_revision;
};

} // namespace pollenward::upstream
