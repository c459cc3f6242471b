#pragma once

#include "core/ids.hpp"
#include "core/runtime_clock.hpp"
#include "core/sharded_map.hpp"

#include <atomic>
#include <compare>
#include <cstdint>
#include <vector>

namespace pollenward::upstream {

/// Workers that one request may crash before the fleet refuses it.
inline constexpr std::size_t max_crashed_workers = 2;
/// How long a request is blocked and a crash record is kept.
inline constexpr core::seconds crash_record_ttl{ 300 };

/// Workers whose connections broke while they ran one request.
class crash_record {
public:
    static crash_record make(
        std::vector<core::worker_id> workers, core::time_point last_at)
    {
        crash_record made;
        made.workers = std::move(workers);
        made.last_at = last_at;
        return made;
    }

    const std::vector<core::worker_id>& get_workers() const
    {
        return this->workers;
    }

    core::time_point get_last_at() const { return this->last_at; }

    bool is_expired(core::time_point now) const
    {
        return now - this->last_at >= crash_record_ttl;
    }

    bool is_blocking(core::time_point now) const
    {
        return !this->is_expired(now)
            && this->workers.size() >= max_crashed_workers;
    }

    auto operator<=>(const crash_record&) const = default;

private:
    std::vector<core::worker_id> workers;
    core::time_point last_at;
};

/// Detects requests that crash each worker that runs them, and blocks them
/// after `max_crashed_workers`. A request is identified by its fingerprint, so
/// that a resend under another id is detected too. A request that succeeds on a
/// worker after a crash did not cause it: when a rack fails, frequent lookups
/// break on several workers at once.
class request_guard {
public:
    /// Records that a worker's connection broke while it ran the request. True
    /// if this worker is new for the fingerprint and peers should be notified.
    bool on_crash(std::uint64_t fingerprint, const core::worker_id& worker,
        core::time_point now);

    /// Erases the crash record of a request that a worker answered.
    void on_success(std::uint64_t fingerprint);

    bool is_blocked(std::uint64_t fingerprint, core::time_point now) const;

    /// Erases expired records; returns their number.
    std::size_t expire(core::time_point now);

    /// Number of fingerprints with a crash record.
    std::size_t size() const { return this->records.size(); }

private:
    core::sharded_map<std::uint64_t, crash_record> records;
    /// Lets requests pass without a look-up while there are no records.
    std::atomic<std::size_t> record_count{ 0 };
};

} // namespace pollenward::upstream
