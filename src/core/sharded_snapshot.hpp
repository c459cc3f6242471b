#pragma once

#include <array>
#include <atomic>
#include <cstddef>
#include <memory>
#include <mutex>
#include <utility>

namespace pollenward::core {

/// A large immutable value that is read for each request and rarely replaced.
/// Each shard has a pointer to the value under its own lock, and threads are
/// spread over the shards, so that readers rarely contend. Readers access the
/// value only during read(); a replaced value is freed after its last reader.
template <class Value, std::size_t ShardCount = 8>
class sharded_snapshot {
public:
    explicit sharded_snapshot(Value value) { this->store(std::move(value)); }

    /// Replaces the value, one shard after another.
    void store(Value value)
    {
        const auto next = std::make_shared<const Value>(std::move(value));
        for (shard& each : this->shards)
        {
            const std::lock_guard lock(each.mutex);
            each.value = next;
        }
    }

    /// Returns `reader(value)`. The result must not reference the value.
    template <class Reader>
    auto read(Reader reader) const
    {
        const shard& target = this->shards[thread_number() % ShardCount];
        std::shared_ptr<const Value> value;
        {
            const std::lock_guard lock(target.mutex);
            value = target.value;
        }
        return reader(*value);
    }

private:
    struct shard {
        mutable std::mutex mutex;
        std::shared_ptr<const Value> value;
    };

    static std::size_t thread_number()
    {
        static std::atomic<std::size_t> next{ 0 };
        thread_local const std::size_t number = next.fetch_add(1);
        return number;
    }

    std::array<shard, ShardCount> shards;
};

} // namespace pollenward::core
