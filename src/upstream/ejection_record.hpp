#pragma once

#include "core/ids.hpp"
#include "core/runtime_clock.hpp"
#include "upstream/evidence_counts.hpp"
#include "upstream/received_verdict.hpp"
#include "upstream/verdict.hpp"

#include <algorithm>
#include <compare>
#include <utility>

namespace pollenward::upstream {

/// Duration of a worker's n-th ejection: 5 s, doubled with each further
/// ejection, at most 5 min.
inline core::milliseconds ejection_duration(int ejections)
{
    constexpr core::milliseconds base = core::seconds(5);
    constexpr core::milliseconds max_duration = std::chrono::minutes(5);
    constexpr int max_doublings = 6; // 5 s * 2^6 is above 5 min
    const int doublings = std::clamp(ejections - 1, 0, max_doublings);
    return std::min(base * (1 << doublings), max_duration);
}

/// An aggregator's state of a worker that is or was ejected.
class ejection_record {
public:
    /// A worker that was never ejected.
    static ejection_record make(core::worker_id worker)
    {
        ejection_record made;
        made.worker = std::move(worker);
        return made;
    }

    const core::worker_id& get_worker() const { return this->worker; }
    worker_state get_state() const { return this->state; }
    double get_weight() const { return this->weight; }
    int get_ejections() const { return this->ejections; }

    /// When the present state or step of the trial began.
    core::time_point get_since() const { return this->since; }

    /// The counts at that time; later results are the difference from them.
    const evidence_counts& get_baseline() const { return this->baseline; }

    core::time_point get_ejection_end() const
    {
        return this->since + ejection_duration(this->ejections);
    }

    ejection_record with_ejection(core::time_point now) const
    {
        ejection_record next = *this;
        next.state = worker_state::ejected;
        next.weight = 0;
        next.since = now;
        ++next.ejections;
        return next;
    }

    /// The next step of the trial, or active after the last one.
    ejection_record with_next_step(
        const evidence_counts& counts, core::time_point now) const
    {
        ejection_record next = *this;
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
        // Outlasts a few lost replies; each reply renews the verdict.
        constexpr core::milliseconds renewal_time = core::seconds(5);
        const auto remaining = this->state == worker_state::ejected
            ? std::chrono::ceil<core::milliseconds>(
                this->get_ejection_end() - now)
            : renewal_time;
        return verdict::make(this->worker, this->state, this->weight,
            std::max(remaining, core::milliseconds(0)), this->ejections);
    }

    auto operator<=>(const ejection_record&) const = default;

private:
    /// The weights of a trial are 1/16, 1/4 and 1/2; 1 ends it.
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
