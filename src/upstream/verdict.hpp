#pragma once

#include "core/ids.hpp"
#include "core/runtime_clock.hpp"

#include <compare>
#include <utility>

namespace pollenward::upstream {

/// Whether a worker receives requests.
enum class worker_state { active, ejected, trial };

/// An aggregator's decision on one worker. A worker without one is active.
class verdict {
public:
    /// `weight` is the share of normal traffic on trial, from 0 to 1.
    /// `remaining` is the time until the state ends unless renewed; a duration,
    /// not a point in time, because daemons do not share a clock. `ejections`
    /// is the number of recent ejections and lengthens the next one.
    static verdict make(core::worker_id worker, worker_state state,
        double weight, core::milliseconds remaining, int ejections)
    {
        verdict made;
        made.worker = std::move(worker);
        made.state = state;
        made.weight = weight;
        made.remaining = remaining;
        made.ejections = ejections;
        return made;
    }

    const core::worker_id& get_worker() const { return this->worker; }
    worker_state get_state() const { return this->state; }
    double get_weight() const { return this->weight; }
    core::milliseconds get_remaining() const { return this->remaining; }
    int get_ejections() const { return this->ejections; }

    auto operator<=>(const verdict&) const = default;

private:
    core::worker_id worker;
    worker_state state = worker_state::active;
    double weight = 1;
    core::milliseconds remaining{};
    int ejections = 0;
};

} // namespace pollenward::upstream
