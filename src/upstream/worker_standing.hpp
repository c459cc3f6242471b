#pragma once

#include "upstream/verdict.hpp"
#include "upstream/worker.hpp"

#include <compare>
#include <utility>

namespace pollenward::upstream {

/// A worker that may get work, as one daemon sees it after verdicts, drains
/// and the floor were applied.
class worker_standing {
public:
    /// `weight` is the share of normal work, above 0 and at most 1.
    static worker_standing make(worker who, worker_state state, double weight)
    {
        worker_standing made;
        made.who = std::move(who);
        made.state = state;
        made.weight = weight;
        return made;
    }

    const worker& get_worker() const { return this->who; }
    worker_state get_state() const { return this->state; }
    double get_weight() const { return this->weight; }

    auto operator<=>(const worker_standing&) const = default;

private:
    worker who;
    worker_state state = worker_state::active;
    double weight = 1;
};

} // namespace pollenward::upstream
