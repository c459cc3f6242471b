#pragma once

#include "core/memory_budget.hpp"

#include <cstddef>
#include <utility>

namespace pollenward::caller {

/// The largest body that may use the part of the memory for small ones.
inline constexpr std::size_t max_small_body_bytes = 65536;

/// Memory for the bodies of requests. Large bodies cannot use the part for
/// small ones, so that a few callers do not keep the others out. Copies share
/// their parts. Thread-safe.
class body_memory {
public:
    static body_memory make(
        core::memory_budget small, core::memory_budget large)
    {
        body_memory made;
        made.small = std::move(small);
        made.large = std::move(large);
        return made;
    }

    static body_memory unlimited() { return body_memory(); }

    /// Bytes that are reserved for one body until this object is destroyed.
    class lease {
    public:
        explicit lease(const body_memory& owner)
            : owner(owner)
        {
        }

        /// Changes the number of reserved bytes. False, without a change, if
        /// neither part that the size may use has that many left.
        bool resize(std::size_t bytes)
        {
            const bool is_small = bytes <= max_small_body_bytes;
            return (is_small && this->reserve(this->owner.small, bytes, true))
                || this->reserve(this->owner.large, bytes, false);
        }

        std::size_t size() const { return this->held.size(); }
        /// Whether the bytes are in the part for small bodies.
        bool is_small() const { return this->in_small; }

        /// Ends the lease here; the bytes stay reserved with the result.
        core::memory_lease release() { return std::move(this->held); }

    private:
        bool reserve(
            const core::memory_budget& part, std::size_t bytes, bool is_small)
        {
            if (is_small == this->in_small)
            {
                return this->held.resize(bytes);
            }
            core::memory_lease moved = part.lease();
            if (!moved.resize(bytes))
            {
                return false;
            }
            this->held = std::move(moved);
            this->in_small = is_small;
            return true;
        }

        const body_memory& owner;
        bool in_small = false;
        core::memory_lease held = this->owner.large.lease();
    };

    /// Whether little is left in the part.
    bool is_scarce(bool in_small) const
    {
        constexpr std::size_t scarce_share = 8;
        const core::memory_budget& part = in_small ? this->small : this->large;
        return part.get_limit() - part.get_used()
            < part.get_limit() / scarce_share;
    }

private:
    core::memory_budget small = core::memory_budget::unlimited();
    core::memory_budget large = core::memory_budget::unlimited();
};

} // namespace pollenward::caller
