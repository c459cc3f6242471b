#pragma once

#include <atomic>
#include <cstddef>
#include <limits>
#include <memory>
#include <utility>

namespace pollenward::core {

/// Bytes that are reserved in a memory_budget until this object is destroyed.
class memory_lease {
public:
    /// Reserves nothing, in no budget.
    memory_lease() = default;
    memory_lease(memory_lease&& other) noexcept
        : used(std::move(other.used))
        , limit(other.limit)
        , bytes(std::exchange(other.bytes, 0))
    {
    }
    memory_lease& operator=(memory_lease&& other) noexcept
    {
        std::swap(this->used, other.used);
        std::swap(this->limit, other.limit);
        std::swap(this->bytes, other.bytes);
        return *this;
    }
    memory_lease(const memory_lease&) = delete;
    memory_lease& operator=(const memory_lease&) = delete;
    ~memory_lease()
    {
        if (this->used)
        {
            *this->used -= this->bytes;
        }
    }

    /// Changes the number of reserved bytes. False, without a change, if the
    /// budget has not that many left.
    bool resize(std::size_t changed)
    {
        if (!this->used)
        {
            return true;
        }
        if (changed <= this->bytes)
        {
            *this->used -= this->bytes - changed;
            this->bytes = changed;
            return true;
        }
        const std::size_t added = changed - this->bytes;
        if (this->used->fetch_add(added) + added > this->limit)
        {
            *this->used -= added;
            return false;
        }
        this->bytes = changed;
        return true;
    }

    std::size_t size() const { return this->bytes; }

private:
    friend class memory_budget;

    std::shared_ptr<std::atomic<std::size_t>> used;
    std::size_t limit = 0;
    std::size_t bytes = 0;
};

/// Bounds the bytes that a daemon buffers for all requests together. Copies
/// share one budget. Thread-safe.
class memory_budget {
public:
    static memory_budget make(std::size_t limit)
    {
        memory_budget made;
        made.limit = limit;
        return made;
    }

    static memory_budget unlimited()
    {
        return make(std::numeric_limits<std::size_t>::max());
    }

    /// A lease of no bytes yet.
    memory_lease lease() const
    {
        memory_lease made;
        made.used = this->used;
        made.limit = this->limit;
        return made;
    }

    std::size_t get_used() const { return this->used->load(); }
    std::size_t get_limit() const { return this->limit; }

private:
    std::shared_ptr<std::atomic<std::size_t>> used
        = std::make_shared<std::atomic<std::size_t>>(0);
    std::size_t limit = 0;
};

} // namespace pollenward::core
