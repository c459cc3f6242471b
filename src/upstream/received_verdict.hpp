#pragma once

#include "core/runtime_clock.hpp"
#include "upstream/verdict.hpp"

#include <compare>
#include <utility>
#include <vector>

namespace pollenward::upstream {

/// Share of normal traffic that a worker receives in the first step of a trial.
inline constexpr double first_trial_weight = 1.0 / 16;

/// A verdict with its local expiry, kept between two replies of the aggregator.
class received_verdict {
public:
    /// `received` is the time at which the reply was received.
    static received_verdict make(verdict decided, core::time_point received)
    {
        received_verdict made;
        made.expiry = received + decided.get_remaining();
        made.decided = std::move(decided);
        return made;
    }

    const verdict& get_verdict() const { return this->decided; }
    core::time_point get_expiry() const { return this->expiry; }

    /// The verdict that applies at `now`. If it is not renewed, an ejection
    /// turns into a trial, and a trial ends after a further `grace`, so that
    /// the loss of an aggregator neither ejects a worker for good nor returns
    /// it to full load at once.
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

    auto operator<=>(const received_verdict&) const = default;

private:
    verdict decided;
    core::time_point expiry;
};

/// The verdicts of a reply that was received at `now`, with their expiries.
inline std::vector<received_verdict> make_received_verdicts(
    const std::vector<verdict>& verdicts, core::time_point now)
{
    std::vector<received_verdict> received_verdicts;
    received_verdicts.reserve(verdicts.size());
    for (const verdict& each : verdicts)
    {
        received_verdicts.push_back(received_verdict::make(each, now));
    }
    return received_verdicts;
}

} // namespace pollenward::upstream
