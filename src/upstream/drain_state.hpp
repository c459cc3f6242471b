#pragma once

#include "core/runtime_clock.hpp"

#include <compare>
#include <optional>

namespace pollenward::upstream {

/// Who reported that a worker is leaving. Any one source is enough.
enum class drain_source { worker_reply, peer };

/// Whether a worker is leaving, as reported by the worker itself or by a peer.
/// The third source is the platform's list, see worker::is_leaving().
class drain_state {
public:
    /// A notice expires if it is not repeated for this long: a worker may
    /// return under its id while the platform's list lags.
    static constexpr core::seconds notice_ttl{ 60 };

    drain_state with_notice(drain_source source, core::time_point now) const
    {
        drain_state next = *this;
        (source == drain_source::peer ? next.peer_notice_expiry
                                      : next.worker_notice_expiry)
            = now + notice_ttl;
        return next;
    }

    bool is_leaving(core::time_point now) const
    {
        return now < this->worker_notice_expiry
            || now < this->peer_notice_expiry;
    }

    /// True if the worker itself reported it, so that this daemon sends it to
    /// peers. A peer's notice is not passed on: two daemons would renew it for
    /// ever.
    bool is_reported_by_worker(core::time_point now) const
    {
        return now < this->worker_notice_expiry;
    }

    auto operator<=>(const drain_state&) const = default;

private:
    core::time_point worker_notice_expiry;
    core::time_point peer_notice_expiry;
};

/// True if any source reports that the worker is leaving.
constexpr bool is_leaving(bool is_listed_as_leaving,
    const std::optional<drain_state>& state, core::time_point now)
{
    return is_listed_as_leaving || (state && state->is_leaving(now));
}

} // namespace pollenward::upstream
