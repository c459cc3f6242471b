#pragma once

#include "core/runtime_clock.hpp"

#include <compare>
#include <optional>

namespace pollenward::upstream {

/// Who said that a worker is leaving. Any one source is enough.
enum class drain_source { worker_answer, peer };

/// Whether a worker is leaving, as told by the worker itself or by a peer. The
/// platform's list is the third source and is held in worker::is_leaving().
class drain_state {
public:
    /// A word that is not repeated for this long no longer counts: a worker may
    /// come back under its id while the platform's list lags.
    static constexpr core::seconds hold{ 60 };

    drain_state with_word(drain_source source, core::time_point now) const
    {
        drain_state next = *this;
        (source == drain_source::peer ? next.told_by_peer : next.told_by_worker)
            = now + hold;
        return next;
    }

    bool is_leaving(core::time_point now) const
    {
        return now < this->told_by_worker || now < this->told_by_peer;
    }

    /// Whether this daemon has it from the worker and passes it on to peers. A
    /// peer's word is not passed on: two daemons would renew it for ever.
    bool is_own_knowledge(core::time_point now) const
    {
        return now < this->told_by_worker;
    }

    auto operator<=>(const drain_state&) const = default;

private:
    core::time_point told_by_worker;
    core::time_point told_by_peer;
};

/// The union of all sources.
constexpr bool is_leaving(bool is_listed_as_leaving,
    const std::optional<drain_state>& state, core::time_point now)
{
    return is_listed_as_leaving || (state && state->is_leaving(now));
}

} // namespace pollenward::upstream
