#pragma once

#include <array>
#include <cstddef>
#include <functional>
#include <mutex>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

namespace pollenward::core {

/// A map split into shards, each under its own lock. Values are replaced
/// whole and returned as copies, so that no reference outlives a lock.
/// Functions passed in run under one shard's lock: they must not block, do I/O
/// or call into another sharded map.
template <class Key, class Value, std::size_t ShardCount = 16>
class sharded_map {
public:
    /// A copy of the value, or nothing if the key is absent.
    std::optional<Value> find(const Key& key) const
    {
        const shard& target = this->shard_of(key);
        const std::lock_guard lock(target.mutex);
        const auto found = target.entries.find(key);
        if (found == target.entries.end())
        {
            return std::nullopt;
        }
        return found->second;
    }

    void store(const Key& key, Value value)
    {
        shard& target = this->shard_of(key);
        const std::lock_guard lock(target.mutex);
        target.entries.insert_or_assign(key, std::move(value));
    }

    /// Stores the value unless the key is present; true if stored.
    bool insert(const Key& key, Value value)
    {
        shard& target = this->shard_of(key);
        const std::lock_guard lock(target.mutex);
        return target.entries.try_emplace(key, std::move(value)).second;
    }

    /// Replaces a value by the result of `change`, which takes the present
    /// value as `const std::optional<Value>&` and returns the next one as
    /// `std::optional<Value>`; nothing means erase. Returns the next value.
    template <class Change>
    std::optional<Value> update(const Key& key, Change change)
    {
        shard& target = this->shard_of(key);
        const std::lock_guard lock(target.mutex);
        const auto found = target.entries.find(key);
        std::optional<Value> present;
        if (found != target.entries.end())
        {
            present = found->second;
        }
        std::optional<Value> next = change(std::as_const(present));
        if (next)
        {
            target.entries.insert_or_assign(key, *next);
        }
        else if (present)
        {
            target.entries.erase(key);
        }
        return next;
    }

    /// Runs `visit` on the stored value under the lock, creating it with
    /// `make` if absent, and returns what `visit` returns. For values that are
    /// stateful objects rather than value types.
    template <class Make, class Visit>
    auto visit(const Key& key, Make make, Visit visit)
    {
        shard& target = this->shard_of(key);
        const std::lock_guard lock(target.mutex);
        auto found = target.entries.find(key);
        if (found == target.entries.end())
        {
            found = target.entries.emplace(key, make()).first;
        }
        return visit(found->second);
    }

    /// Runs `visit` on each stored value under its shard's lock.
    template <class Visit>
    void for_each(Visit visit)
    {
        for (shard& each : this->shards)
        {
            const std::lock_guard lock(each.mutex);
            for (auto& entry : each.entries)
            {
                visit(entry.second);
            }
        }
    }

    /// Removes and returns the value, or nothing if the key is absent.
    std::optional<Value> extract(const Key& key)
    {
        shard& target = this->shard_of(key);
        const std::lock_guard lock(target.mutex);
        auto node = target.entries.extract(key);
        if (node.empty())
        {
            return std::nullopt;
        }
        return std::move(node.mapped());
    }

    bool erase(const Key& key)
    {
        shard& target = this->shard_of(key);
        const std::lock_guard lock(target.mutex);
        return target.entries.erase(key) != 0;
    }

    /// Removes the entries for which `predicate(key, value)` is true; returns
    /// their number. One shard is locked at a time.
    template <class Predicate>
    std::size_t erase_if(Predicate predicate)
    {
        std::size_t erased = 0;
        for (shard& each : this->shards)
        {
            const std::lock_guard lock(each.mutex);
            erased += std::erase_if(each.entries, [&](const auto& entry) {
                return predicate(entry.first, entry.second);
            });
        }
        return erased;
    }

    /// Copies of all entries, shard by shard; not a consistent snapshot of the
    /// whole map.
    std::vector<std::pair<Key, Value>> entries() const
    {
        std::vector<std::pair<Key, Value>> all;
        for (const shard& each : this->shards)
        {
            const std::lock_guard lock(each.mutex);
            all.insert(all.end(), each.entries.begin(), each.entries.end());
        }
        return all;
    }

    std::size_t size() const
    {
        std::size_t total = 0;
        for (const shard& each : this->shards)
        {
            const std::lock_guard lock(each.mutex);
            total += each.entries.size();
        }
        return total;
    }

private:
    struct shard {
        mutable std::mutex mutex;
        std::unordered_map<Key, Value> entries;
    };

    const shard& shard_of(const Key& key) const
    {
        return this->shards[std::hash<Key>{}(key) % ShardCount];
    }

    shard& shard_of(const Key& key)
    {
        return this->shards[std::hash<Key>{}(key) % ShardCount];
    }

    std::array<shard, ShardCount> shards;
};

} // namespace pollenward::core
