#pragma once

#include "core/runtime_clock.hpp"
#include "core/units.hpp"
#include "fleet/store_state.hpp"

#include <algorithm>

namespace pollenward::main {

/// How far one kind of the store's objects is known, and since when it is
/// known from the store itself and from other daemons.
class store_contact {
public:
    /// How long a daemon relies on others without hearing that the store is
    /// there. The daemons that ask it are answered each second, and a word
    /// takes half a second to all of a zone.
    static constexpr core::milliseconds reliance{ 1800 };

    store_contact heard(core::store_revision at, core::time_point now) const
    {
        store_contact next = *this;
        next.revision = std::max(this->revision, at);
        next.own = std::max(this->own, now);
        return next;
    }

    /// What another daemon knows; it counts only if this one knows as much.
    /// `now` must not be later than the time at which the age was taken.
    store_contact told(
        const fleet::store_position& mark, core::time_point now) const
    {
        store_contact next = *this;
        if (mark.get_age() < fleet::store_position::age_if_never_read
            && mark.get_revision() <= this->revision)
        {
            next.others = std::max(this->others, now - mark.get_age());
        }
        return next;
    }

    store_contact advanced(core::store_revision to) const
    {
        store_contact next = *this;
        next.revision = std::max(this->revision, to);
        return next;
    }

    bool relies_on_others(core::time_point now) const
    {
        return now - this->others <= reliance;
    }

    core::store_revision get_revision() const { return this->revision; }

    /// By what the store or others told.
    fleet::store_position mark(core::time_point now) const
    {
        return this->mark_since(std::max(this->own, this->others), now);
    }

    /// By what the store told this daemon.
    fleet::store_position own_mark(core::time_point now) const
    {
        return this->mark_since(this->own, now);
    }

    auto operator<=>(const store_contact&) const = default;

private:
    fleet::store_position mark_since(
        core::time_point last, core::time_point now) const
    {
        const auto age = std::max(core::milliseconds::zero(),
            std::chrono::duration_cast<core::milliseconds>(now - last));
        return fleet::store_position::make(this->revision,
            std::min(age, fleet::store_position::age_if_never_read));
    }

    core::store_revision revision{ 0 };
    core::time_point own = long_ago;
    core::time_point others = long_ago;

    /// Before any start of the clock, but far from where sums overflow.
    static constexpr core::time_point long_ago{ -core::seconds(1'000'000) };
};

} // namespace pollenward::main
