#pragma once

#include "core/units.hpp"

#include <compare>
#include <cstdint>

namespace pollenward::core {

/// Rises each time the store returns to an older copy of itself; 0 if the store
/// does not state it.
using store_era = quantity<struct era_tag, std::uint64_t>;

/// A position in the history of the store: the number of writes in an era. A
/// store that returns to an older copy gives numbers out again, so a revision
/// of an earlier era is less than all revisions of a later one.
class store_revision {
public:
    constexpr store_revision() = default;

    /// Of a store that states no era.
    constexpr explicit store_revision(std::uint64_t number)
        : number(number)
    {
    }

    static constexpr store_revision make(store_era era, std::uint64_t number)
    {
        store_revision made(number);
        made.era = era;
        return made;
    }

    /// The same revision, in `assumed` if the store did not state its era.
    constexpr store_revision in_era_unless_stated(store_era assumed) const
    {
        return this->era == store_era(0) ? make(assumed, this->number) : *this;
    }

    constexpr store_era get_era() const { return this->era; }
    constexpr std::uint64_t get_number() const { return this->number; }

    constexpr auto operator<=>(const store_revision&) const = default;

private:
    store_era era;
    std::uint64_t number = 0;
};

} // namespace pollenward::core
