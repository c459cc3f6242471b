#pragma once

#include "event_queue.hpp"
#include "scenario.hpp"
#include "upstream/evidence_window.hpp"

#include <algorithm>
#include <array>
#include <vector>

namespace pollenward::bench {

/// Control traffic of a run.
struct control_traffic {
    std::uint64_t messages = 0;
    std::uint64_t bytes = 0;
};

/// Common outlier detection, for comparison: each daemon by itself ejects a
/// worker for 30 s after five consecutive failures.
class naive_detector {
public:
    naive_detector(event_queue& events, const scenario&)
        : events(events)
    {
    }

    void start() { }

    void record(int daemon, int worker, upstream::attempt_result result,
        unsigned status, int /*in_flight*/)
    {
        path& seen = this->paths[daemon][worker];
        switch (upstream::evidence_of(result, status))
        {
        case upstream::evidence_kind::none:
            return;
        case upstream::evidence_kind::success:
            seen.consecutive = 0;
            return;
        case upstream::evidence_kind::failure:
            break;
        }
        if (++seen.consecutive >= 5)
        {
            seen.consecutive = 0;
            seen.ejected_until = this->events.now() + core::seconds(30);
            this->ejected_once[worker] = true;
        }
    }

    /// Share of its normal load that the daemon sends to each worker.
    std::vector<double> weights(int daemon) const
    {
        std::vector<double> all;
        all.reserve(worker_count);
        for (int worker = 0; worker < worker_count; ++worker)
        {
            all.push_back(this->is_ejected(daemon, worker) ? 0 : 1);
        }
        return all;
    }

    bool is_ejected(int daemon, int worker) const
    {
        return this->events.now() < this->paths[daemon][worker].ejected_until;
    }

    bool was_ejected(int worker) const { return this->ejected_once[worker]; }
    control_traffic traffic() const { return {}; }

private:
    struct path {
        int consecutive = 0;
        core::time_point ejected_until = core::time_point::min();
    };

    event_queue& events;
    std::array<std::array<path, worker_count>, daemon_count> paths{};
    std::array<bool, worker_count> ejected_once{};
};

} // namespace pollenward::bench
