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

/// What one daemon knows of its own path to one worker.
class path_state {
public:
    /// The state after an attempt. Only results that point to the path count:
    /// no connection, or no byte back. Any byte from the worker clears it.
    path_state with_result(attempt_result result, int failures_to_avoid,
        core::time_point now) const
    {
        switch (result)
        {
        case attempt_result::not_sent:
        case attempt_result::silent:
            return this->with_failure(failures_to_avoid, now);
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
    path_state with_failure(int failures_to_avoid, core::time_point now) const
    {
        constexpr int most_doublings = 5; // 1 s to 32 s
        path_state next = *this;
        // Attempts that were under way when the avoidance began say nothing
        // new and must not lengthen it.
        if (this->is_avoided(now))
        {
            return next;
        }
        ++next.failures;
        if (next.failures >= failures_to_avoid)
        {
            const int doublings
                = std::min(next.failures - failures_to_avoid, most_doublings);
            next.avoided_until = now + core::seconds(1 << doublings);
        }
        return next;
    }

    int failures = 0;
    core::time_point avoided_until = core::time_point::min();
};

/// The workers that this daemon avoids because its own path to them fails.
/// Not an ejection: no other daemon is told, and the floor applies to it too.
/// Any thread may call any function.
class local_avoidance {
public:
    /// Failures after which a worker is avoided, if nothing else is said.
    static constexpr int default_failures = 3;

    explicit local_avoidance(int failures_to_avoid = default_failures)
        : failures_to_avoid(failures_to_avoid)
    {
    }

    void record(const core::service_id& service, const core::worker_id& worker,
        attempt_result result, core::time_point now)
    {
        this->paths.update(evidence_key::make(service, worker),
            [&](const std::optional<path_state>& present) {
                const auto next
                    = present.value_or(path_state{})
                          .with_result(result, this->failures_to_avoid, now);
                return next == path_state{} ? std::nullopt
                                            : std::optional(next);
            });
    }

    /// The workers of the service that are avoided now, sorted.
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
    core::sharded_map<evidence_key, path_state> paths;
};

} // namespace pollenward::upstream
