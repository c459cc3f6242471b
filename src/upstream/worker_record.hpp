#pragma once

#include "core/ids.hpp"
#include "core/runtime_clock.hpp"
#include "upstream/evidence_counts.hpp"
#include "upstream/held_verdict.hpp"
#include "upstream/verdict.hpp"

#include <algorithm>
#include <compare>
#include <utility>

namespace pollenward::upstream {

/// How long the n-th ejection of a worker lasts: 5 s, doubled per repeat, at
/// most 5 min.
inline core::milliseconds hold_time(int ejections)
{
    constexpr core::milliseconds first = core::seconds(5);
    constexpr core::milliseconds longest = std::chrono::minutes(5);
    constexpr int most_doublings = 6; // 5 s * 2^6 is above 5 min
    const int doublings = std::clamp(ejections - 1, 0, most_doublings);
    return std::min(first * (1 << doublings), longest);
}

/// What a home remembers of a worker that is or was ejected.
class worker_record {
public:
    /// A worker that was never ejected.
    static worker_record make(core::worker_id worker)
    {
        worker_record made;
        made.worker = std::move(worker);
        return made;
    }

    const core::worker_id& get_worker() const { return this->worker; }
    worker_state get_state() const { return this->state; }
    double get_weight() const { return this->weight; }
    int get_ejections() const { return this->ejections; }

    /// When the present state or step of the trial began.
    core::time_point get_since() const { return this->since; }

    /// The counts at that time; later results are the difference to them.
    const evidence_counts& get_baseline() const { return this->baseline; }

    core::time_point get_hold_end() const
    {
        return this->since + hold_time(this->ejections);
    }

    worker_record with_ejection(core::time_point now) const
    {
        worker_record next = *this;
        next.state = worker_state::ejected;
        next.weight = 0;
        next.since = now;
        ++next.ejections;
        return next;
    }

    /// The next step of the trial, or active after the last one.
    worker_record with_step(
        const evidence_counts& counts, core::time_point now) const
    {
        worker_record next = *this;
        next.weight = this->state == worker_state::ejected
            ? first_trial_weight
            : next_weight(this->weight);
        next.state
            = next.weight >= 1 ? worker_state::active : worker_state::trial;
        next.since = now;
        next.baseline = counts;
        return next;
    }

    verdict to_verdict(core::time_point now) const
    {
        // Longer than a few lost replies; each reply renews it.
        constexpr core::milliseconds renewal = core::seconds(5);
        const auto left = this->state == worker_state::ejected
            ? std::chrono::ceil<core::milliseconds>(this->get_hold_end() - now)
            : renewal;
        return verdict::make(this->worker, this->state, this->weight,
            std::max(left, core::milliseconds(0)), this->ejections);
    }

    auto operator<=>(const worker_record&) const = default;

private:
    /// The weights of a trial are 1/16, 1/4, 1/2 and 1, the end of it.
    static double next_weight(double present)
    {
        return present < 0.25 ? 0.25 : present < 0.5 ? 0.5 : 1;
    }

    core::worker_id worker;
    worker_state state = worker_state::active;
    double weight = 1;
    core::time_point since;
    int ejections = 0;
    evidence_counts baseline;
};

} // namespace pollenward::upstream
