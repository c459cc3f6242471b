#pragma once

#include "core/ids.hpp"
#include "core/runtime_clock.hpp"
#include "core/sharded_map.hpp"
#include "upstream/listed_worker.hpp"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <compare>
#include <cstdint>
#include <optional>
#include <vector>

namespace pollenward::upstream {

/// What one run of a worker has said of itself.
class worker_notice {
public:
    static worker_notice make(std::uint64_t started_at_ms)
    {
        worker_notice made;
        made.started_at_ms = started_at_ms;
        return made;
    }

    worker_notice with_leaving() const
    {
        worker_notice next = *this;
        next.leaving = true;
        return next;
    }

    worker_notice with_pause(core::time_point until) const
    {
        worker_notice next = *this;
        next.paused_until = std::max(until, this->paused_until);
        return next;
    }

    /// The notice of a worker that the platform lists, or does not list at
    /// `now`.
    worker_notice with_presence(bool is_listed, core::time_point now) const
    {
        worker_notice next = *this;
        next.absent_since = is_listed
            ? std::nullopt
            : std::optional(this->absent_since.value_or(now));
        return next;
    }

    /// Unix time of the worker's start.
    std::uint64_t get_started_at_ms() const { return this->started_at_ms; }
    bool is_leaving() const { return this->leaving; }
    core::time_point get_paused_until() const { return this->paused_until; }
    /// Nothing while the worker is listed.
    const std::optional<core::time_point>& get_absent_since() const
    {
        return this->absent_since;
    }

    auto operator<=>(const worker_notice&) const = default;

private:
    std::uint64_t started_at_ms = 0;
    bool leaving = false;
    core::time_point paused_until;
    std::optional<core::time_point> absent_since;
};

/// Counts for the metrics.
struct notice_counts {
    std::uint64_t leaving = 0;
    std::uint64_t pauses = 0;
    std::uint64_t unreadable_pauses = 0;
};

/// The notices that workers gave this daemon in their answers. A notice holds
/// for one run of a worker: whatever the platform's list says, until the list
/// has a later start under the same id. Thread-safe.
class worker_notices {
public:
    /// Time for which the notice of a worker that is not listed is kept. A
    /// worker that leaves goes on serving for seconds, and entries that lapsed
    /// come back.
    static constexpr std::chrono::minutes retention{ 10 };

    /// True if the worker had not said so before.
    bool record_leaving(const listed_worker& who);
    void record_pause(const listed_worker& who, core::time_point until);
    void count_unreadable_pause() { ++this->unreadable_pauses; }

    bool is_leaving(const listed_worker& who) const;
    /// Nothing if the worker does not pause.
    std::optional<core::time_point> find_pause(
        const listed_worker& who, core::time_point now) const;

    /// Forgets the notices of earlier runs of the listed workers, and of
    /// workers that have not been listed for the time of retention.
    void store_listed(
        const std::vector<listed_worker>& listed, core::time_point now);

    notice_counts count() const;

private:
    std::optional<worker_notice> find(const listed_worker& who) const;
    template <class Change>
    void change(const listed_worker& who, Change apply);

    core::sharded_map<core::worker_id, worker_notice> notices;
    /// False until the first one, which saves the lookups until then.
    std::atomic<bool> has_any{ false };
    std::atomic<std::uint64_t> leaving{ 0 };
    std::atomic<std::uint64_t> pauses{ 0 };
    std::atomic<std::uint64_t> unreadable_pauses{ 0 };
};

} // namespace pollenward::upstream
