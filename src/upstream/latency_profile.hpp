#pragma once

#include "core/runtime_clock.hpp"

#include <algorithm>
#include <cmath>
#include <compare>

namespace pollenward::upstream {

/// Sums over answered requests of one service, from which a log-normal
/// distribution of their latencies is estimated. Sums of several daemons are
/// added.
class latency_sums {
public:
    static latency_sums make(
        double count, double log_sum, double log_square_sum)
    {
        latency_sums made;
        made.count = count;
        made.log_sum = log_sum;
        made.log_square_sum = log_square_sum;
        return made;
    }

    /// Adds the natural logarithm of the latency in seconds.
    latency_sums with_answer(core::duration latency) const
    {
        constexpr double shortest_seconds = 1e-4;
        const double log
            = std::log(std::max(core::to_seconds(latency), shortest_seconds));
        return make(this->count + 1, this->log_sum + log,
            this->log_square_sum + log * log);
    }

    latency_sums operator+(const latency_sums& other) const
    {
        return make(this->count + other.count, this->log_sum + other.log_sum,
            this->log_square_sum + other.log_square_sum);
    }

    /// Scaled down to at most `max_count` answers, so that newer ones count
    /// more.
    latency_sums capped(double max_count) const
    {
        const double factor
            = this->count > max_count ? max_count / this->count : 1;
        return make(this->count * factor, this->log_sum * factor,
            this->log_square_sum * factor);
    }

    double get_count() const { return this->count; }
    double get_log_sum() const { return this->log_sum; }
    double get_log_square_sum() const { return this->log_square_sum; }

    auto operator<=>(const latency_sums&) const = default;

private:
    double count = 0;
    double log_sum = 0;
    double log_square_sum = 0;
};

/// The log-normal distribution of a service's latencies. Before answers were
/// recorded it is a wide prior around a given median.
class latency_profile {
public:
    static latency_profile make(
        const latency_sums& sums, core::duration prior_median)
    {
        // The prior counts as much as this many answers.
        constexpr double prior_weight = 4;
        constexpr double prior_deviation = 0.7;
        // Bounds of the deviation: a few equal latencies must not make every
        // longer one count as a failure.
        constexpr double min_deviation = 0.35;
        constexpr double max_deviation = 1.2;
        const double prior_log
            = std::log(std::max(core::to_seconds(prior_median), 0.001));
        const double weight = sums.get_count() + prior_weight;
        latency_profile made;
        made.mean = (sums.get_log_sum() + prior_weight * prior_log) / weight;
        const double log_square_sum = sums.get_log_square_sum()
            + prior_weight
                * (prior_log * prior_log + prior_deviation * prior_deviation);
        const double variance = log_square_sum / weight - made.mean * made.mean;
        made.deviation = std::clamp(
            std::sqrt(std::max(variance, 0.0)), min_deviation, max_deviation);
        return made;
    }

    /// Share of the answers that take longer than `age`, from 0 to 1.
    double survival(core::duration age) const
    {
        const double seconds = core::to_seconds(age);
        if (seconds <= 0)
        {
            return 1;
        }
        const double deviations
            = (std::log(seconds) - this->mean) / this->deviation;
        return 0.5 * std::erfc(deviations / std::sqrt(2.0));
    }

    /// The latency at `deviations` standard deviations above the median.
    core::duration quantile(double deviations) const
    {
        const double seconds
            = std::exp(this->mean + deviations * this->deviation);
        return std::chrono::duration_cast<core::duration>(
            std::chrono::duration<double>(seconds));
    }

    core::duration median() const { return this->quantile(0); }

    /// Expected latency.
    core::duration expected() const
    {
        // Of a log-normal distribution: exp(mean + variance / 2).
        return this->quantile(this->deviation / 2);
    }

    auto operator<=>(const latency_profile&) const = default;

private:
    double mean = 0;
    double deviation = 1;
};

} // namespace pollenward::upstream
