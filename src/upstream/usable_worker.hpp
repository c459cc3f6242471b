#pragma once

#include "upstream/verdict.hpp"
#include "upstream/worker.hpp"

#include <compare>
#include <utility>

namespace pollenward::upstream {

/// A worker that may receive requests after a daemon has applied verdicts,
/// drains and the floor.
class usable_worker {
public:
    /// `weight` is the share of normal traffic, above 0 and at most 1.
    static usable_worker make(worker who, worker_state state, double weight)
    {
        usable_worker made;
        made.who = std::move(who);
        made.state = state;
        made.weight = weight;
        return made;
    }

    const worker& get_worker() const { return this->who; }
    worker_state get_state() const { return this->state; }
    double get_weight() const { return this->weight; }

    auto operator<=>(const usable_worker&) const = default;

private:
    worker who;
    worker_state state = worker_state::active;
    double weight = 1;
};

} // namespace pollenward::upstream
