#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace pollenward::operators {

/// Histogram of the latencies of one group of requests, in milliseconds.
class latency_series {
public:
    /// `counts[i]` requests took more than `bounds[i - 1]` and at most
    /// `bounds[i]` ms; the last count is that of requests above all bounds.
    static latency_series make(std::string labels, std::vector<double> bounds,
        std::vector<std::uint64_t> counts, double sum)
    {
        latency_series made;
        made.labels = std::move(labels);
        made.bounds = std::move(bounds);
        made.counts = std::move(counts);
        made.sum = sum;
        return made;
    }

    /// In Prometheus text format: rank="urgent",outcome="answered".
    const std::string& get_labels() const { return this->labels; }
    const std::vector<double>& get_bounds() const { return this->bounds; }
    const std::vector<std::uint64_t>& get_counts() const
    {
        return this->counts;
    }
    double get_sum() const { return this->sum; }

    auto operator<=>(const latency_series&) const = default;

private:
    std::string labels;
    std::vector<double> bounds;
    std::vector<std::uint64_t> counts;
    double sum = 0;
};

/// The value of a counter, which only increases, or of a gauge.
class metric_value {
public:
    static metric_value make(std::string name, double value, bool is_counter)
    {
        metric_value made;
        made.name = std::move(name);
        made.value = value;
        made.counter = is_counter;
        return made;
    }

    const std::string& get_name() const { return this->name; }
    double get_value() const { return this->value; }
    bool is_counter() const { return this->counter; }

    auto operator<=>(const metric_value&) const = default;

private:
    std::string name;
    double value = 0;
    bool counter = true;
};

/// All metrics at approximately one time.
class metrics_snapshot {
public:
    static metrics_snapshot make(std::vector<latency_series> by_rank,
        std::vector<latency_series> by_account,
        std::vector<metric_value> values)
    {
        metrics_snapshot made;
        made.by_rank = std::move(by_rank);
        made.by_account = std::move(by_account);
        made.values = std::move(values);
        return made;
    }

    const std::vector<latency_series>& get_by_rank() const
    {
        return this->by_rank;
    }
    const std::vector<latency_series>& get_by_account() const
    {
        return this->by_account;
    }
    const std::vector<metric_value>& get_values() const { return this->values; }

    auto operator<=>(const metrics_snapshot&) const = default;

private:
    std::vector<latency_series> by_rank;
    std::vector<latency_series> by_account;
    std::vector<metric_value> values;
};

} // namespace pollenward::operators
