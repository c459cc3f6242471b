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
/// How long a refused request stays refused, and a crash is remembered.
inline constexpr core::seconds guard_ttl{ 300 };

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
        return now - this->last_at >= guard_ttl;
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

/// Finds requests that crash each worker that runs them, and stops them after
/// `max_crashed_workers`. A request is recognised by its fingerprint, so that a
/// resend under another id is recognised too. Work that succeeded somewhere
/// after a crash is not to blame for it: when a rack goes, popular lookups
/// break on several workers at once.
class request_guard {
public:
    /// Notes that a worker's connection broke while it ran the request. True if
    /// this worker is new for the fingerprint, so that peers should hear.
    bool on_crash(std::uint64_t fingerprint, const core::worker_id& worker,
        core::time_point now);

    /// Notes that a worker answered the request.
    void on_success(std::uint64_t fingerprint);

    bool is_blocked(std::uint64_t fingerprint, core::time_point now) const;

    /// Forgets expired records; returns how many.
    std::size_t expire(core::time_point now);

    /// Fingerprints with at least one crash on record.
    std::size_t size() const { return this->records.size(); }

private:
    core::sharded_map<std::uint64_t, crash_record> records;
    /// Lets requests pass without a look-up while there are no records.
    std::atomic<std::size_t> record_count{ 0 };
};

} // namespace pollenward::upstream
