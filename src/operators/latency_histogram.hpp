#pragma once

#include "core/runtime_clock.hpp"
#include "operators/metrics_snapshot.hpp"

#include <boost/histogram.hpp>

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace pollenward::operators {

/// Makes a histogram whose bounds double from 0.5 ms, below the smallest delay
/// between zones, to 32.8 s, above every default time limit.
inline auto make_latency_counts()
{
    namespace axis = boost::histogram::axis;
    return boost::histogram::make_histogram(
        axis::regular<double, axis::transform::log>(16, 0.5, 32768.0));
}

/// Latencies counted on a logarithmic axis in milliseconds, with their sum.
class latency_histogram {
public:
    void record(core::duration latency)
    {
        const double value = core::to_seconds(latency) * 1000;
        this->counts(value);
        this->sum += value;
    }

    void add(const latency_histogram& other)
    {
        this->counts += other.counts;
        this->sum += other.sum;
    }

    latency_series to_series(std::string labels) const
    {
        const auto& axis = this->counts.axis();
        std::vector<double> bounds;
        std::vector<std::uint64_t> values;
        for (int i = -1; i <= axis.size(); ++i)
        {
            if (i < axis.size())
            {
                bounds.push_back(axis.value(i + 1));
            }
            values.push_back(
                static_cast<std::uint64_t>(double(this->counts.at(i))));
        }
        return latency_series::make(
            std::move(labels), std::move(bounds), std::move(values), this->sum);
    }

private:
    decltype(make_latency_counts()) counts = make_latency_counts();
    double sum = 0;
};

} // namespace pollenward::operators
