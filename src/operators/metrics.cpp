#include "operators/metrics.hpp"

#include "operators/latency_histogram.hpp"
#include "operators/metrics_text.hpp"

#include <algorithm>
#include <atomic>
#include <functional>
#include <unordered_map>
#include <utility>

namespace pollenward::operators {

namespace {

    std::size_t thread_number()
    {
        static std::atomic<std::size_t> next{ 0 };
        thread_local const std::size_t mine = next.fetch_add(1);
        return mine;
    }

    struct account_entry {
        core::account_id id;
        latency_histogram latencies;
        /// Upper bound of the account's number of requests.
        std::uint64_t weight = 0;
    };

} // namespace

struct metrics::group {
    latency_histogram latencies;
};

/// The busiest accounts by the space-saving algorithm (Metwally et al. 2005):
/// a new account replaces the least busy one and inherits its weight.
struct metrics::account_table {
    std::vector<account_entry> entries;
    std::unordered_map<core::account_id, std::size_t> positions;
    latency_histogram rest;

    account_entry& find_or_replace(const core::account_id& id)
    {
        const auto found = this->positions.find(id);
        if (found != this->positions.end())
        {
            return this->entries[found->second];
        }
        if (this->entries.size() < max_account_series)
        {
            this->positions.emplace(id, this->entries.size());
            this->entries.push_back({ id, {}, 0 });
            return this->entries.back();
        }
        const auto least
            = std::min_element(this->entries.begin(), this->entries.end(),
                [](const account_entry& left, const account_entry& right) {
                    return left.weight < right.weight;
                });
        this->rest.add(least->latencies);
        this->positions.erase(least->id);
        this->positions.emplace(
            id, static_cast<std::size_t>(least - this->entries.begin()));
        *least = { id, {}, least->weight };
        return *least;
    }
};

metrics::metrics() = default;
metrics::~metrics() = default;

void metrics::record(core::rank rank, const core::account_id& account,
    caller::outcome_kind outcome, core::duration latency)
{
    const std::size_t index = core::index_of(rank)
        + core::rank_count * static_cast<std::size_t>(outcome);
    const std::size_t copy = thread_number() % copy_count;
    this->groups.visit(
        copy * group_count + index, [] { return std::make_unique<group>(); },
        [&](auto& mine) { mine->latencies.record(latency); });
    const std::size_t table
        = std::hash<core::account_id>{}(account) % table_count;
    this->accounts.visit(
        table, [] { return std::make_unique<account_table>(); },
        [&](auto& mine) {
            account_entry& entry = mine->find_or_replace(account);
            entry.latencies.record(latency);
            ++entry.weight;
        });
}

void metrics::add(std::string_view name, std::uint64_t count)
{
    this->counters.visit(
        std::string(name), [] { return std::uint64_t(0); },
        [&](std::uint64_t& value) { value += count; });
}

void metrics::set(std::string_view name, double value)
{
    this->gauges.store(std::string(name), value);
}

std::vector<latency_series> metrics::snapshot_ranks()
{
    std::vector<latency_series> series;
    for (std::size_t index = 0; index < group_count; ++index)
    {
        latency_histogram total;
        for (std::size_t copy = 0; copy < copy_count; ++copy)
        {
            this->groups.visit(
                copy * group_count + index,
                [] { return std::make_unique<group>(); },
                [&](auto& each) { total.add(each->latencies); });
        }
        const auto rank = core::all_ranks[index % core::rank_count];
        const auto outcome
            = static_cast<caller::outcome_kind>(index / core::rank_count);
        series.push_back(total.to_series("rank=\""
            + std::string(core::to_string(rank)) + "\",outcome=\""
            + std::string(caller::to_string(outcome)) + "\""));
    }
    return series;
}

std::vector<latency_series> metrics::snapshot_accounts()
{
    std::vector<account_entry> all;
    latency_histogram rest;
    for (std::size_t table = 0; table < table_count; ++table)
    {
        this->accounts.visit(
            table, [] { return std::make_unique<account_table>(); },
            [&](auto& each) {
                all.insert(
                    all.end(), each->entries.begin(), each->entries.end());
                rest.add(each->rest);
            });
    }
    std::sort(all.begin(), all.end(),
        [](const account_entry& left, const account_entry& right) {
            return left.weight != right.weight ? left.weight > right.weight
                                               : left.id < right.id;
        });
    std::vector<latency_series> series;
    for (std::size_t i = 0; i < all.size(); ++i)
    {
        if (i < max_account_series)
        {
            series.push_back(all[i].latencies.to_series(
                "account=\"" + escape_label(all[i].id.str()) + "\""));
        }
        else
        {
            rest.add(all[i].latencies);
        }
    }
    // An account name cannot be empty, so this label is unambiguous.
    series.push_back(rest.to_series("account=\"\""));
    return series;
}

metrics_snapshot metrics::snapshot()
{
    std::vector<metric_value> values;
    for (const auto& [name, value] : this->counters.entries())
    {
        values.push_back(
            metric_value::make(name, static_cast<double>(value), true));
    }
    for (const auto& [name, value] : this->gauges.entries())
    {
        values.push_back(metric_value::make(name, value, false));
    }
    std::sort(values.begin(), values.end());
    return metrics_snapshot::make(
        this->snapshot_ranks(), this->snapshot_accounts(), std::move(values));
}

} // namespace pollenward::operators
