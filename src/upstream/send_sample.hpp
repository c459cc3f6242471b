#pragma once

#include "core/runtime_clock.hpp"

#include <compare>
#include <vector>

namespace pollenward::upstream {

/// The state of one request that was sent to a worker.
enum class sample_state {
    /// No answer yet.
    waiting,
    /// The worker answered it.
    answered,
    /// It failed, was lost or was given up as late: counts against the worker.
    failed
};

/// One request sent to a worker, as evidence of the worker's state at the time
/// of the send.
class send_sample {
public:
    static send_sample make(core::time_point sent_at, sample_state state)
    {
        send_sample made;
        made.sent_at = sent_at;
        made.state = state;
        return made;
    }

    core::time_point get_sent_at() const { return this->sent_at; }
    sample_state get_state() const { return this->state; }

    send_sample with_state(sample_state changed) const
    {
        return make(this->sent_at, changed);
    }

    auto operator<=>(const send_sample&) const = default;

private:
    core::time_point sent_at;
    sample_state state = sample_state::waiting;
};

using send_samples = std::vector<send_sample>;

} // namespace pollenward::upstream
