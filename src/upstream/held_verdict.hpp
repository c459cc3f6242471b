#pragma once

#include "core/runtime_clock.hpp"
#include "upstream/verdict.hpp"

#include <compare>
#include <utility>
#include <vector>

namespace pollenward::upstream {

/// Shares of normal work that a worker gets on trial, step by step. After the
/// last step it is active.
inline constexpr double first_trial_weight = 1.0 / 16;

/// A verdict as a daemon holds it between two replies of the home.
class held_verdict {
public:
    /// `received` is the time at which the reply with the verdict was read.
    static held_verdict make(verdict decided, core::time_point received)
    {
        held_verdict made;
        made.expiry = received + decided.get_remaining();
        made.decided = std::move(decided);
        return made;
    }

    const verdict& get_verdict() const { return this->decided; }
    core::time_point get_expiry() const { return this->expiry; }

    /// The verdict as it applies now. Without a home that renews it, an
    /// ejection turns into a trial and a trial ends after a further
    /// `grace`, so that a lost home neither keeps a worker out for good nor
    /// sends it full load at once.
    verdict at(core::time_point now) const
    {
        constexpr core::seconds grace(10);
        if (now < this->expiry
            || this->decided.get_state() == worker_state::active)
        {
            return this->decided;
        }
        const bool is_over = now >= this->expiry + grace;
        const double weight = this->decided.get_state() == worker_state::ejected
            ? first_trial_weight
            : this->decided.get_weight();
        return verdict::make(this->decided.get_worker(),
            is_over ? worker_state::active : worker_state::trial,
            is_over ? 1 : weight, core::milliseconds(0),
            this->decided.get_ejections());
    }

    auto operator<=>(const held_verdict&) const = default;

private:
    verdict decided;
    core::time_point expiry;
};

/// All verdicts of a reply, as received at `now`.
inline std::vector<held_verdict> hold_verdicts(
    const std::vector<verdict>& verdicts, core::time_point now)
{
    std::vector<held_verdict> held;
    held.reserve(verdicts.size());
    for (const verdict& each : verdicts)
    {
        held.push_back(held_verdict::make(each, now));
    }
    return held;
}

} // namespace pollenward::upstream
