#pragma once

#include "core/runtime_clock.hpp"
#include "upstream/listed_worker.hpp"

#include <algorithm>
#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace pollenward::upstream {

/// The workers that the platform lists. The platform removes the entries of
/// workers that stop renewing them, also if the platform itself was
/// unavailable. If a large share is missing just after such an outage, the
/// missing entries are kept until the workers had time to register again.
///
/// The platform may return to an older copy of the list. Workers that the copy
/// lacks are kept in the same way, and workers that left after it was made are
/// not used again before their entries had time to expire. Not thread-safe.
class worker_registry {
public:
    /// Time that workers need to register again after an outage.
    static constexpr core::seconds reregistration_time{ 2 };
    /// Time for which workers that left are remembered. Copies are some seconds
    /// old, and the platform may be unavailable for some seconds before it
    /// returns to one.
    static constexpr core::seconds departure_retention{ 60 };
    static constexpr core::milliseconds default_lease_time{ 4500 };
    static constexpr int renewals_per_lease = 3;
    /// Share of missing workers above which the outage is taken as the cause.
    /// Workers that leave by themselves are fewer and are not kept.
    static constexpr double mass_expiry_share = 0.25;

    /// `lease_time` is the time after which the platform removes the entry of a
    /// silent worker.
    explicit worker_registry(core::milliseconds lease_time = default_lease_time)
        : lease_time(lease_time)
    {
    }

    /// The platform replies again at `now`, for the first time since
    /// `last_reply`. A connection that was cut off is no outage: no entry has
    /// expired in less than the interval at which workers renew theirs.
    void on_outage_end(core::time_point now, core::time_point last_reply)
    {
        if (now - last_reply < this->lease_time / renewals_per_lease)
        {
            return;
        }
        this->kept_until = now + reregistration_time;
        this->outage_effect_until = this->kept_until;
        this->count_at_outage_end = this->entries.size();
        this->missing_since_outage_end = 0;
    }

    /// Stores an entry; false if the present one was written later.
    bool put(const std::string& name, const listed_worker& entry)
    {
        const auto found = this->entries.find(name);
        const bool is_older = found != this->entries.end()
            && !entry.is_newer_than(found->second.worker);
        if (!is_older && !this->is_withheld(name, entry)
            && !this->is_from_before_departure(name, entry))
        {
            this->entries.insert_or_assign(
                name, registry_entry{ entry, absence::none });
            this->withheld.erase(name);
            this->departed.erase(name);
            return true;
        }
        return false;
    }

    /// Replaces the list by that of an older copy to which the platform has
    /// returned.
    void restore(
        const std::map<std::string, listed_worker>& copy, core::time_point now)
    {
        this->kept_until
            = std::max(this->kept_until, now + reregistration_time);
        this->withheld.clear();
        this->withheld_until = now + this->lease_time;
        for (const auto& [name, entry] : copy)
        {
            const auto left = this->departed.find(name);
            // Its sequence says nothing: the platform reports a renewed entry
            // only if more than that has changed.
            const bool may_have_left = left != this->departed.end()
                && (!left->second.last
                    || entry.get_started_at_ms()
                        <= left->second.last->get_started_at_ms());
            if (may_have_left)
            {
                this->withheld.insert_or_assign(name, entry);
            }
            else
            {
                this->put(name, entry);
            }
        }
        for (auto& [name, each] : this->entries)
        {
            each.missing = copy.count(name) == 0 ? absence::lacking_in_copy
                                                 : absence::none;
        }
    }

    /// Removes workers whose entries were removed at the same time; marks them
    /// as missing instead if the last outage is the cause.
    void remove(const std::vector<std::string>& names, core::time_point now)
    {
        const bool is_mass_expiry = this->is_mass_expiry(names, now);
        this->drop_old_departures(now);
        for (const std::string& name : names)
        {
            const auto listed = this->find_listed(name);
            this->withheld.erase(name);
            const auto found = this->entries.find(name);
            if (found != this->entries.end() && is_mass_expiry)
            {
                found->second.missing = absence::expired_in_outage;
                continue;
            }
            this->record_departure(name, listed, now);
            if (found != this->entries.end())
            {
                this->record_departure(name, found->second.worker, now);
                this->entries.erase(found);
            }
        }
    }

    /// Removes the workers that a complete list does not contain, but for those
    /// that are missing already and kept.
    template <class Names>
    void keep_only(const Names& names, core::time_point now)
    {
        std::vector<std::string> absent;
        for (const auto& [name, each] : this->entries)
        {
            const bool is_kept
                = each.missing != absence::none && now < this->kept_until;
            if (names.count(name) == 0 && !is_kept)
            {
                absent.push_back(name);
            }
        }
        std::erase_if(this->withheld,
            [&](const auto& each) { return names.count(each.first) == 0; });
        this->remove(absent, now);
    }

    /// Removes the missing workers that did not register again in time; true if
    /// there were any.
    bool remove_missing(core::time_point now)
    {
        if (now < this->kept_until)
        {
            return false;
        }
        this->drop_old_departures(now);
        return std::erase_if(this->entries, [&](const auto& each) {
            const bool is_missing = each.second.missing != absence::none;
            if (is_missing)
            {
                this->record_departure(each.first, each.second.worker, now);
            }
            return is_missing;
        }) != 0;
    }

    /// Stores the withheld workers that the platform still listed at its last
    /// reply, after their entries should have expired; true if there were any.
    bool release_withheld(core::time_point last_reply)
    {
        if (last_reply < this->withheld_until)
        {
            return false;
        }
        const auto present = std::exchange(this->withheld, {});
        for (const auto& [name, entry] : present)
        {
            this->departed.erase(name);
            this->put(name, entry);
        }
        return !present.empty();
    }

    /// False while the platform lists other workers than workers().
    bool matches_store() const
    {
        return this->withheld.empty() && !this->has_missing();
    }

    /// Whether entries are kept that expired in an outage. Another daemon that
    /// receives the platform's list would remove them.
    bool keeps_expired() const
    {
        return std::any_of(
            this->entries.begin(), this->entries.end(), [](const auto& each) {
                return each.second.missing == absence::expired_in_outage;
            });
    }

    /// The entry that the platform lists under the name; nothing if it lists
    /// none.
    std::optional<listed_worker> find_listed(const std::string& name) const
    {
        const auto held = this->withheld.find(name);
        if (held != this->withheld.end())
        {
            return held->second;
        }
        const auto found = this->entries.find(name);
        const bool is_listed = found != this->entries.end()
            && found->second.missing == absence::none;
        return is_listed ? std::optional(found->second.worker) : std::nullopt;
    }

    /// The names that the platform lists.
    std::vector<std::string> listed_names() const
    {
        std::vector<std::string> listed;
        listed.reserve(this->entries.size() + this->withheld.size());
        for (const auto& [name, each] : this->entries)
        {
            if (each.missing == absence::none)
            {
                listed.push_back(name);
            }
        }
        for (const auto& [name, each] : this->withheld)
        {
            listed.push_back(name);
        }
        return listed;
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

    /// When remove_missing() or release_withheld() is due.
    core::time_point get_expiry() const
    {
        if (this->withheld.empty())
        {
            return this->kept_until;
        }
        return this->has_missing()
            ? std::min(this->kept_until, this->withheld_until)
            : this->withheld_until;
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
        const auto found = this->entries.find(name);
        return found == this->entries.end() ? nullptr : &found->second.worker;
    }

private:
    /// Why the platform does not list an entry that is kept.
    enum class absence { none, expired_in_outage, lacking_in_copy };

    struct registry_entry {
        listed_worker worker;
        absence missing = absence::none;
    };

    struct departure {
        /// Nothing if only the removal of the entry was reported.
        std::optional<listed_worker> last;
        core::time_point at;
    };

    /// Whether the entry is a withheld one that its worker has not renewed.
    bool is_withheld(const std::string& name, const listed_worker& entry) const
    {
        const auto found = this->withheld.find(name);
        return found != this->withheld.end()
            && found->second.is_newer_than(entry);
    }

    /// Whether the run that wrote the entry has left with a later one.
    bool is_from_before_departure(
        const std::string& name, const listed_worker& entry) const
    {
        const auto found = this->departed.find(name);
        return found != this->departed.end() && found->second.last
            && found->second.last->get_started_at_ms()
            == entry.get_started_at_ms()
            && found->second.last->get_sequence() > entry.get_sequence();
    }

    void record_departure(const std::string& name,
        const std::optional<listed_worker>& last, core::time_point now)
    {
        departure& recorded = this->departed[name];
        const bool is_later
            = last && (!recorded.last || last->is_newer_than(*recorded.last));
        recorded.last = is_later ? last : recorded.last;
        recorded.at = now;
    }

    bool has_missing() const
    {
        return std::any_of(
            this->entries.begin(), this->entries.end(), [](const auto& each) {
                return each.second.missing != absence::none;
            });
    }

    void drop_old_departures(core::time_point now)
    {
        std::erase_if(this->departed, [&](const auto& each) {
            return now - each.second.at > departure_retention;
        });
    }

    bool is_mass_expiry(
        const std::vector<std::string>& names, core::time_point now)
    {
        if (now >= this->outage_effect_until)
        {
            return false;
        }
        this->missing_since_outage_end
            += static_cast<std::size_t>(std::count_if(
                names.begin(), names.end(), [this](const std::string& name) {
                    return this->entries.count(name) != 0;
                }));
        return static_cast<double>(this->missing_since_outage_end)
            > mass_expiry_share
            * static_cast<double>(this->count_at_outage_end);
    }

    core::milliseconds lease_time;
    std::map<std::string, registry_entry> entries;
    /// Workers that the platform does not list any more.
    std::map<std::string, departure> departed;
    /// Entries of an older copy whose workers may have left since.
    std::map<std::string, listed_worker> withheld;
    core::time_point kept_until = core::time_point::min();
    /// Until then, the last outage may be why many entries are removed.
    core::time_point outage_effect_until = core::time_point::min();
    core::time_point withheld_until = core::time_point::min();
    std::size_t count_at_outage_end = 0;
    /// Number of entries that went missing since the end of the last outage.
    std::size_t missing_since_outage_end = 0;
};

} // namespace pollenward::upstream
