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
    static latency_sums make(double count, double logs, double squares)
    {
        latency_sums made;
        made.count = count;
        made.logs = logs;
        made.squares = squares;
        return made;
    }

    /// Natural logarithms are taken of latencies in seconds.
    latency_sums with_answer(core::duration latency) const
    {
        constexpr double shortest_seconds = 1e-4;
        const double log
            = std::log(std::max(core::to_seconds(latency), shortest_seconds));
        return make(
            this->count + 1, this->logs + log, this->squares + log * log);
    }

    latency_sums operator+(const latency_sums& other) const
    {
        return make(this->count + other.count, this->logs + other.logs,
            this->squares + other.squares);
    }

    /// Scaled down to at most `most` answers, so that newer ones count more.
    latency_sums capped(double most) const
    {
        const double factor = this->count > most ? most / this->count : 1;
        return make(
            this->count * factor, this->logs * factor, this->squares * factor);
    }

    double get_count() const { return this->count; }
    double get_logs() const { return this->logs; }
    double get_squares() const { return this->squares; }

    auto operator<=>(const latency_sums&) const = default;

private:
    double count = 0;
    double logs = 0;
    double squares = 0;
};

/// How long answers of a service take: a log-normal distribution. Before
/// answers were seen it is a wide guess around a given median.
class latency_profile {
public:
    static latency_profile make(
        const latency_sums& sums, core::duration guessed_median)
    {
        // The guess counts as much as this many answers.
        constexpr double guess_weight = 4;
        constexpr double guess_deviation = 0.7;
        // Bounds of the deviation: a few equal latencies must not make every
        // longer one look like a failure.
        constexpr double least_deviation = 0.35;
        constexpr double most_deviation = 1.2;
        const double guess
            = std::log(std::max(core::to_seconds(guessed_median), 0.001));
        const double weight = sums.get_count() + guess_weight;
        latency_profile made;
        made.mean = (sums.get_logs() + guess_weight * guess) / weight;
        const double squares = sums.get_squares()
            + guess_weight
                * (guess * guess + guess_deviation * guess_deviation);
        const double variance = squares / weight - made.mean * made.mean;
        made.deviation = std::clamp(std::sqrt(std::max(variance, 0.0)),
            least_deviation, most_deviation);
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
        const double distance
            = (std::log(seconds) - this->mean) / this->deviation;
        return 0.5 * std::erfc(distance / std::sqrt(2.0));
    }

    /// The latency that `deviations` standard deviations above the median is.
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
