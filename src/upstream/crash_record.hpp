#pragma once

#include "core/ids.hpp"
#include "core/runtime_clock.hpp"

#include <compare>
#include <cstddef>
#include <optional>
#include <utility>
#include <vector>

namespace pollenward::upstream {

/// Workers that one request may crash before the fleet refuses it.
inline constexpr std::size_t max_crashed_workers = 2;
/// Crashes one after the other that are enough if they all hit one worker, as
/// in a service with a single worker.
inline constexpr std::size_t max_crashes_of_one_worker = 3;
/// How long a crash record is kept after the last crash, trial or refusal.
inline constexpr core::seconds crash_record_ttl{ 300 };
/// Time from the last crash until one copy of a blocked request is sent again.
/// Each further crash multiplies it.
inline constexpr core::seconds first_trial_delay{ 5 };
inline constexpr int trial_delay_factor = 8;

/// One run of a request that ended when its worker crashed.
class crash_event {
public:
    static crash_event make(core::request_id request, core::worker_id worker,
        core::time_point started_at, core::time_point ended_at)
    {
        crash_event made;
        made.request = std::move(request);
        made.worker = std::move(worker);
        made.started_at = started_at;
        made.ended_at = ended_at;
        return made;
    }

    const core::request_id& get_request() const { return this->request; }
    const core::worker_id& get_worker() const { return this->worker; }
    core::time_point get_started_at() const { return this->started_at; }
    core::time_point get_ended_at() const { return this->ended_at; }
    /// Whether a worker ran an equal request to its end afterwards.
    bool is_refuted() const { return this->refuted; }

    bool is_same_run(const crash_event& other) const
    {
        return this->request == other.request && this->worker == other.worker;
    }

    crash_event with_refuted(bool changed) const
    {
        crash_event next = *this;
        next.refuted = changed;
        return next;
    }

    auto operator<=>(const crash_event&) const = default;

private:
    core::request_id request;
    core::worker_id worker;
    core::time_point started_at;
    core::time_point ended_at;
    bool refuted = false;
};

/// When one copy of a request was refused, or sent as a trial.
class request_mark {
public:
    static request_mark make(core::request_id request, core::time_point at)
    {
        request_mark made;
        made.request = std::move(request);
        made.at = at;
        return made;
    }

    const core::request_id& get_request() const { return this->request; }
    core::time_point get_at() const { return this->at; }

    auto operator<=>(const request_mark&) const = default;

private:
    core::request_id request;
    core::time_point at;
};

/// The crashes of workers that ran equal requests. Records of different
/// daemons are merged: each run is identified by its request and worker, so
/// that a daemon keeps its own estimate of a time that it already has.
class crash_record {
public:
    /// Older runs are left out.
    static constexpr std::size_t max_events = 16;

    static crash_record make(std::vector<crash_event> events,
        std::optional<request_mark> last_trial,
        std::optional<request_mark> last_refusal);

    const std::vector<crash_event>& get_events() const { return this->events; }
    const std::optional<request_mark>& get_last_trial() const
    {
        return this->last_trial;
    }
    const std::optional<request_mark>& get_last_refusal() const
    {
        return this->last_refusal;
    }

    crash_record with_crash(const crash_event& added) const;
    crash_record with_trial(request_mark trial) const;
    crash_record with_refusal(request_mark refusal) const;
    /// A worker ran an equal request to its end: none of the crashes so far was
    /// caused by the request.
    crash_record refuted() const;
    crash_record merged(const crash_record& other) const;
    /// Whether merging `other` would change this record.
    bool lacks(const crash_record& other) const
    {
        return this->merged(other) != *this;
    }

    /// Whether there are crashes that nothing refutes.
    bool is_suspicious() const;
    /// Whether the request crashed too many workers. Runs that overlap count
    /// as one crash: when a rack fails, equal requests break on several of its
    /// workers at once.
    bool is_blocking() const;
    /// When one copy of a blocked request may be sent to a worker again.
    core::time_point next_trial_at() const;
    bool is_expired(core::time_point now) const;

    auto operator<=>(const crash_record&) const = default;

private:
    /// The longest series of unrefuted runs of which each began after the one
    /// before it had ended.
    std::vector<crash_event> successive_crashes() const;
    core::time_point last_crash_at() const;

    /// Sorted by their ends.
    std::vector<crash_event> events;
    std::optional<request_mark> last_trial;
    std::optional<request_mark> last_refusal;
};

} // namespace pollenward::upstream
