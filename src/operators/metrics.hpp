#pragma once

#include "caller/outcome.hpp"
#include "core/ids.hpp"
#include "core/rank.hpp"
#include "core/runtime_clock.hpp"
#include "core/sharded_map.hpp"
#include "operators/metrics_snapshot.hpp"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace pollenward::operators {

/// Maximum number of client accounts with their own series; the others share
/// one.
inline constexpr std::size_t max_account_series = 64;

/// Latencies and counters of this daemon. Every function may be called from
/// any thread; memory does not grow with the number of accounts.
class metrics {
public:
    metrics();
    ~metrics();
    metrics(const metrics&) = delete;
    metrics& operator=(const metrics&) = delete;

    /// Records one finished request.
    void record(core::rank rank, const core::account_id& account,
        caller::outcome_kind outcome, core::duration latency);

    /// Adds to a counter. A name is [a-z_]+, optionally with {label="value"}.
    void add(std::string_view name, std::uint64_t count = 1);

    /// Sets a gauge.
    void set(std::string_view name, double value);

    metrics_snapshot snapshot();

private:
    struct group;
    struct account_table;

    std::vector<latency_series> snapshot_ranks();
    std::vector<latency_series> snapshot_accounts();

    /// One group per rank and outcome.
    static constexpr std::size_t group_count = core::rank_count * 3;
    /// Threads are distributed over copies of the groups to reduce lock
    /// contention.
    static constexpr std::size_t copy_count = 4;
    /// Accounts are distributed over tables by hash, so that each account is
    /// counted in one table and the busiest of all are among the busiest of
    /// their table.
    static constexpr std::size_t table_count = 16;

    core::sharded_map<std::size_t, std::unique_ptr<group>> groups;
    core::sharded_map<std::size_t, std::unique_ptr<account_table>> accounts;
    core::sharded_map<std::string, std::uint64_t> counters;
    core::sharded_map<std::string, double> gauges;
};

} // namespace pollenward::operators
