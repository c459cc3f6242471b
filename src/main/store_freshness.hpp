#pragma once

#include "core/runtime_clock.hpp"
#include "core/store_revision.hpp"
#include "core/units.hpp"
#include "fleet/store_state.hpp"

#include <algorithm>

namespace pollenward::main {

/// The revision of this daemon's copy of one kind of the store's objects, and
/// when the store last replied to this daemon and to another one of its zone.
class store_freshness {
public:
    /// Maximum age of the peers' last store reply at which this daemon does not
    /// poll the store itself. Reading daemons get a reply every second, and its
    /// time reaches the whole zone within half a second.
    static constexpr core::milliseconds max_peer_age{ 1800 };

    /// Ignored if the reply is older than this copy: it does not show how old
    /// the copy is.
    store_freshness after_store_reply(
        core::store_revision at, core::time_point now) const
    {
        if (at < this->revision)
        {
            return *this;
        }
        store_freshness next = *this;
        next.revision = at;
        next.last_own_reply = std::max(this->last_own_reply, now);
        return next;
    }

    /// Records a peer's position. Ignored if its revision is newer than this
    /// copy. `now` must not be later than the time when the age was computed.
    store_freshness after_peer_report(
        const fleet::store_position& position, core::time_point now) const
    {
        store_freshness next = *this;
        if (position.get_age() < fleet::store_position::age_if_never_read
            && position.get_revision() <= this->revision)
        {
            next.last_peer_reply
                = std::max(this->last_peer_reply, now - position.get_age());
        }
        return next;
    }

    store_freshness with_revision_at_least(core::store_revision to) const
    {
        store_freshness next = *this;
        next.revision = std::max(this->revision, to);
        return next;
    }

    bool can_rely_on_peers(core::time_point now) const
    {
        return now - this->last_peer_reply <= max_peer_age;
    }

    core::store_revision get_revision() const { return this->revision; }

    /// When the store last replied to this daemon or to a peer.
    core::time_point last_reply() const
    {
        return std::max(this->last_own_reply, this->last_peer_reply);
    }

    /// Age since the store's last reply to this daemon or to a peer.
    fleet::store_position position(core::time_point now) const
    {
        return this->position_since(this->last_reply(), now);
    }

    /// Age since the store's last reply to this daemon.
    fleet::store_position own_position(core::time_point now) const
    {
        return this->position_since(this->last_own_reply, now);
    }

    auto operator<=>(const store_freshness&) const = default;

private:
    fleet::store_position position_since(
        core::time_point last, core::time_point now) const
    {
        const auto age = std::max(core::milliseconds::zero(),
            std::chrono::duration_cast<core::milliseconds>(now - last));
        return fleet::store_position::make(this->revision,
            std::min(age, fleet::store_position::age_if_never_read));
    }

    core::store_revision revision;
    core::time_point last_own_reply = never;
    core::time_point last_peer_reply = never;

    /// Before any start of the clock, but far from where sums overflow.
    static constexpr core::time_point never{ -core::seconds(1'000'000) };
};

} // namespace pollenward::main
