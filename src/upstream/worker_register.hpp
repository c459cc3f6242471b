#pragma once

#include "core/runtime_clock.hpp"
#include "upstream/listed_worker.hpp"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace pollenward::upstream {

/// Keeps the workers that the platform lists. Entries are removed when workers
/// fall silent, also when only the platform was away: what is missing just
/// after it returned is kept until the workers had time to come back. Not
/// thread-safe.
class worker_register {
public:
    /// Time that workers need to enter themselves again after an outage.
    static constexpr core::seconds return_time{ 2 };

    void on_outage_end(core::time_point now)
    {
        this->kept_until = now + return_time;
    }

    /// Takes an entry, unless an entry that was written later is known.
    void put(const std::string& name, const listed_worker& entry)
    {
        const auto known = this->entries.find(name);
        const bool is_older = known != this->entries.end()
            && !entry.is_newer_than(known->second.worker);
        if (!is_older)
        {
            this->entries.insert_or_assign(name, held{ entry, false });
        }
    }

    void remove(const std::string& name, core::time_point now)
    {
        const auto known = this->entries.find(name);
        if (known == this->entries.end())
        {
            return;
        }
        if (now < this->kept_until)
        {
            known->second.is_missing = true;
            return;
        }
        this->entries.erase(known);
    }

    /// Removes what a complete list does not name.
    template <class Names>
    void keep_only(const Names& names, core::time_point now)
    {
        std::vector<std::string> absent;
        for (const auto& [name, each] : this->entries)
        {
            if (names.count(name) == 0)
            {
                absent.push_back(name);
            }
        }
        for (const std::string& name : absent)
        {
            this->remove(name, now);
        }
    }

    /// Removes what did not come back in time; true if there was any.
    bool expire(core::time_point now)
    {
        if (now < this->kept_until)
        {
            return false;
        }
        return std::erase_if(this->entries, [](const auto& each) {
            return each.second.is_missing;
        }) != 0;
    }

    std::vector<listed_worker> workers() const
    {
        std::vector<listed_worker> all;
        all.reserve(this->entries.size());
        for (const auto& [name, each] : this->entries)
        {
            all.push_back(each.worker);
        }
        return all;
    }

    const listed_worker* find(const std::string& name) const
    {
        const auto known = this->entries.find(name);
        return known == this->entries.end() ? nullptr : &known->second.worker;
    }

private:
    struct held {
        listed_worker worker;
        bool is_missing = false;
    };

    std::map<std::string, held> entries;
    core::time_point kept_until = core::time_point::min();
};

} // namespace pollenward::upstream
