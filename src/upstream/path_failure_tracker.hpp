#pragma once

#include "core/ids.hpp"
#include "core/runtime_clock.hpp"
#include "core/sharded_map.hpp"
#include "upstream/attempt_result.hpp"
#include "upstream/evidence_store.hpp"

#include <algorithm>
#include <compare>
#include <optional>
#include <vector>

namespace pollenward::upstream {

/// Failures of a daemon's own path to one worker since its last response.
class path_state {
public:
    /// The state after an attempt. Only results that indicate a path fault
    /// count: no connection, or no byte received. A response resets the state.
    path_state with_result(attempt_result result, int failures_to_avoid,
        core::time_point now) const
    {
        switch (result)
        {
        case attempt_result::not_sent:
        case attempt_result::silent:
            return this->with_path_failure(failures_to_avoid, now);
        case attempt_result::answered:
        case attempt_result::refused_shed:
        case attempt_result::refused_draining:
        case attempt_result::refused_expired:
            return path_state{};
        case attempt_result::broken_after_send:
        case attempt_result::timed_out:
        case attempt_result::cancelled:
            break;
        }
        return *this;
    }

    bool is_avoided(core::time_point now) const
    {
        return now < this->avoided_until;
    }

    auto operator<=>(const path_state&) const = default;

private:
    path_state with_path_failure(
        int failures_to_avoid, core::time_point now) const
    {
        constexpr int max_doublings = 5; // 1 s to 32 s
        path_state next = *this;
        // Attempts that were in flight when the avoidance began show the same
        // fault and must not extend it.
        if (this->is_avoided(now))
        {
            return next;
        }
        ++next.failures;
        if (next.failures >= failures_to_avoid)
        {
            const int doublings
                = std::min(next.failures - failures_to_avoid, max_doublings);
            next.avoided_until = now + core::seconds(1 << doublings);
        }
        return next;
    }

    int failures = 0;
    core::time_point avoided_until = core::time_point::min();
};

/// Tracks the workers that this daemon avoids because its own path to them
/// fails. This is not an ejection: it is not sent to other daemons, and the
/// floor applies to it too. Thread-safe.
class path_failure_tracker {
public:
    /// Path failures after which a worker is avoided by default.
    static constexpr int default_failures_to_avoid = 3;

    explicit path_failure_tracker(
        int failures_to_avoid = default_failures_to_avoid)
        : failures_to_avoid(failures_to_avoid)
    {
    }

    void record(const core::service_id& service, const core::worker_id& worker,
        attempt_result result, core::time_point now)
    {
        this->paths.update(worker_key::make(service, worker),
            [&](const std::optional<path_state>& present) {
                const auto next
                    = present.value_or(path_state{})
                          .with_result(result, this->failures_to_avoid, now);
                return next == path_state{} ? std::nullopt
                                            : std::optional(next);
            });
    }

    /// The workers of the service that are avoided at `now`, sorted by id.
    std::vector<core::worker_id> avoided(
        const core::service_id& service, core::time_point now) const
    {
        std::vector<core::worker_id> found;
        for (const auto& [key, path] : this->paths.entries())
        {
            if (key.get_service() == service && path.is_avoided(now))
            {
                found.push_back(key.get_worker());
            }
        }
        std::sort(found.begin(), found.end());
        return found;
    }

private:
    int failures_to_avoid;
    core::sharded_map<worker_key, path_state> paths;
};

} // namespace pollenward::upstream
