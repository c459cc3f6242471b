#pragma once

#include "core/runtime_clock.hpp"

#include <compare>
#include <vector>

namespace pollenward::upstream {

/// What is known of one request that was sent to a worker.
enum class trace_state {
    /// No answer yet.
    waiting,
    /// The worker answered it.
    answered,
    /// It was lost, failed or given up: the worker's fault.
    failed
};

/// One request sent to a worker, as evidence of how the worker was when it was
/// sent.
class exchange_trace {
public:
    static exchange_trace make(core::time_point sent_at, trace_state state)
    {
        exchange_trace made;
        made.sent_at = sent_at;
        made.state = state;
        return made;
    }

    core::time_point get_sent_at() const { return this->sent_at; }
    trace_state get_state() const { return this->state; }

    exchange_trace with_state(trace_state changed) const
    {
        return make(this->sent_at, changed);
    }

    auto operator<=>(const exchange_trace&) const = default;

private:
    core::time_point sent_at;
    trace_state state = trace_state::waiting;
};

using exchange_traces = std::vector<exchange_trace>;

} // namespace pollenward::upstream
