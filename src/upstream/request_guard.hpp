#pragma once

#include "core/ids.hpp"
#include "core/runtime_clock.hpp"
#include "core/sharded_map.hpp"
#include "upstream/crash_record.hpp"

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <utility>
#include <vector>

namespace pollenward::upstream {

enum class guard_decision {
    pass,
    /// Blocked, but sent to one worker to find out whether it still crashes.
    trial,
    refuse
};

/// Crash records by fingerprint.
using named_crash_record = std::pair<std::uint64_t, crash_record>;

/// Detects requests that crash each worker that runs them, and blocks them
/// after `max_crashed_workers`. A request is identified by its fingerprint, so
/// that a resend under another id is detected too. A request that a worker
/// answers after a crash did not cause it. A blocked request is sent again as a
/// trial, less often after each crash, so that one that was blocked because of
/// other faults is served again.
class request_guard {
public:
    /// Records that a worker crashed while it ran the request. Returns the
    /// record if the run is new, for the other daemons.
    std::optional<crash_record> on_crash(
        std::uint64_t fingerprint, const crash_event& crash);

    /// A worker ran the request to its end. Returns the record if there were
    /// crashes that this refutes, for the other daemons.
    std::optional<crash_record> on_success(std::uint64_t fingerprint);

    /// Merges the record of another daemon; returns the result.
    crash_record merge(std::uint64_t fingerprint, const crash_record& received);

    /// Decides about a request. `trial_delay` is added to the time of the next
    /// trial, so that the daemons don't all start one at the same time.
    guard_decision check(std::uint64_t fingerprint,
        const core::request_id& request, core::duration trial_delay,
        core::time_point now);

    bool is_blocked(std::uint64_t fingerprint, core::time_point now) const;

    std::optional<crash_record> find(std::uint64_t fingerprint) const;
    /// At most `count` records of blocked requests.
    std::vector<named_crash_record> blocking_records(
        std::size_t count, core::time_point now) const;

    /// Erases expired records; returns their number.
    std::size_t expire(core::time_point now);

    /// Number of fingerprints with a crash record.
    std::size_t size() const { return this->record_count.load(); }

private:
    core::sharded_map<std::uint64_t, crash_record> records;
    /// Lets requests pass without a look-up while there are no records.
    std::atomic<std::size_t> record_count{ 0 };
};

} // namespace pollenward::upstream
