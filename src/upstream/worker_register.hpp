#pragma once

#include "core/runtime_clock.hpp"
#include "upstream/listed_worker.hpp"

#include <algorithm>
#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace pollenward::upstream {

/// Keeps the workers that the platform lists. Entries are removed when workers
/// fall silent, also when only the platform was away: if a large part is
/// missing just after it returned, what is missing is kept until the workers
/// had time to come back. Not thread-safe.
class worker_register {
public:
    /// Time that workers need to enter themselves again after an outage.
    static constexpr core::seconds return_time{ 2 };
    /// Part of the workers above which their entries lapsed together; workers
    /// that leave by themselves are fewer, and are not kept.
    static constexpr double lapsed_part = 0.25;

    void on_outage_end(core::time_point now)
    {
        this->kept_until = now + return_time;
        this->known_at_outage_end = this->entries.size();
        this->missing_since = 0;
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

    /// Removes workers whose entries were removed at the same time.
    void remove(const std::vector<std::string>& names, core::time_point now)
    {
        const bool is_lapse = this->is_lapse(names, now);
        for (const std::string& name : names)
        {
            const auto known = this->entries.find(name);
            if (known == this->entries.end())
            {
                continue;
            }
            if (is_lapse)
            {
                known->second.is_missing = true;
            }
            else
            {
                this->entries.erase(known);
            }
        }
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
        this->remove(absent, now);
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

    /// False while entries are kept that the store does not list.
    bool is_settled() const
    {
        return std::none_of(this->entries.begin(), this->entries.end(),
            [](const auto& each) { return each.second.is_missing; });
    }

    std::vector<std::string> names() const
    {
        std::vector<std::string> all;
        all.reserve(this->entries.size());
        for (const auto& [name, each] : this->entries)
        {
            all.push_back(name);
        }
        return all;
    }

    /// When expire() is due.
    core::time_point get_expiry() const { return this->kept_until; }

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

    bool is_lapse(const std::vector<std::string>& names, core::time_point now)
    {
        if (now >= this->kept_until)
        {
            return false;
        }
        this->missing_since += static_cast<std::size_t>(std::count_if(
            names.begin(), names.end(), [this](const std::string& name) {
                return this->entries.count(name) != 0;
            }));
        return static_cast<double>(this->missing_since)
            > lapsed_part * static_cast<double>(this->known_at_outage_end);
    }

    std::map<std::string, held> entries;
    core::time_point kept_until = core::time_point::min();
    std::size_t known_at_outage_end = 0;
    /// Entries that were missing since the end of the last outage.
    std::size_t missing_since = 0;
};

} // namespace pollenward::upstream
