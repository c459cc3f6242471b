#pragma once

#include "core/store_revision.hpp"
#include "fleet/store_state.hpp"

#include <compare>
#include <cstdint>

namespace pollenward::main {

/// How current this daemon's copy of one kind of the store's objects is, and
/// what happened to the store's replies since the start; for the metrics.
class store_figures {
public:
    store_figures with_position(const fleet::store_position& current) const
    {
        store_figures next = *this;
        next.position = current;
        return next;
    }

    /// One more reply was ignored since it was older than the copy.
    store_figures after_outdated_reply() const
    {
        store_figures next = *this;
        ++next.outdated_replies;
        return next;
    }

    /// The copy is of a later era than before: one more restore of the store.
    store_figures after_restore(core::store_era to) const
    {
        store_figures next = *this;
        next.restored_to = to;
        ++next.restores;
        return next;
    }

    /// Whether the restore that began this era was counted.
    bool has_counted(core::store_era era) const
    {
        return this->restored_to >= era;
    }

    const fleet::store_position& get_position() const { return this->position; }
    std::uint64_t get_outdated_replies() const
    {
        return this->outdated_replies;
    }
    std::uint64_t get_restores() const { return this->restores; }

    auto operator<=>(const store_figures&) const = default;

private:
    fleet::store_position position;
    std::uint64_t outdated_replies = 0;
    std::uint64_t restores = 0;
    core::store_era restored_to;
};

} // namespace pollenward::main
