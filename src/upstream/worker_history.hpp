#pragma once

#include "core/units.hpp"

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace pollenward::upstream {

/// At which revision of the store each worker's entry last changed, so that
/// another daemon can be told what it missed. Not thread-safe.
class worker_history {
public:
    /// Removed entries that are remembered: an hour of the departures that the
    /// fleet is planned for, many times over.
    static constexpr std::size_t most_removed = 2000;

    /// Starts anew with a complete list: what was entered and removed again
    /// between two lists is not known.
    void restart(
        const std::vector<std::string>& names, core::store_revision revision)
    {
        this->changed_at.clear();
        this->removed = 0;
        this->start = revision;
        for (const std::string& name : names)
        {
            this->changed_at.insert_or_assign(name, change{ revision, false });
        }
    }

    void on_change(
        const std::string& name, core::store_revision revision, bool is_removed)
    {
        const auto known = this->changed_at.find(name);
        const bool was_removed
            = known != this->changed_at.end() && known->second.is_removed;
        this->removed += is_removed ? 1 : 0;
        this->removed -= was_removed ? 1 : 0;
        this->changed_at.insert_or_assign(name, change{ revision, is_removed });
        if (this->removed > most_removed)
        {
            this->forget_removed(revision);
        }
    }

    /// Names that changed after `revision`; nothing if that is too long ago to
    /// know all of them.
    std::optional<std::vector<std::string>> changed_since(
        core::store_revision revision) const
    {
        if (!this->start || revision < *this->start)
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

private:
    struct change {
        core::store_revision at;
        bool is_removed = false;
    };

    void forget_removed(core::store_revision revision)
    {
        std::erase_if(this->changed_at,
            [](const auto& each) { return each.second.is_removed; });
        this->removed = 0;
        this->start = revision;
    }

    std::map<std::string, change> changed_at;
    std::size_t removed = 0;
    /// Changes before this revision are not known.
    std::optional<core::store_revision> start;
};

} // namespace pollenward::upstream
