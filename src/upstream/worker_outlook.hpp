#pragma once

#include "core/runtime_clock.hpp"
#include "upstream/exchange_trace.hpp"
#include "upstream/latency_profile.hpp"

namespace pollenward::upstream {

/// What is assumed of gray failures: a worker alternates between a healthy
/// state, in which it answers nearly everything, and a faulty one, in which it
/// leaves most requests without an answer while its probes pass.
struct gray_failure_model {
    /// Share of the time that a worker of which nothing is known is faulty.
    double faulty_share = 0.3;
    /// Share of the requests that a faulty worker loses.
    double lost_share = 0.75;
    /// Share of the requests that a healthy worker fails.
    double error_share = 0.02;
    /// Time in which what was seen loses two thirds of its weight. A faulty
    /// state that lasts 9 s of 30 s gives 6.3 s: 1 / (1 / 9 s + 1 / 21 s).
    core::milliseconds memory{ 6300 };
};

/// Probability that a worker is faulty now: a hidden Markov model with two
/// states (Rabiner 1989), filtered over the traces in the order in which they
/// were sent. A request that waits longer than answers of the service take
/// counts against the worker long before its deadline.
double faulty_probability(const exchange_traces& traces,
    const latency_profile& latencies, const gray_failure_model& model,
    core::time_point now);

/// Probability that a request sent now is lost.
double loss_probability(double faulty, const gray_failure_model& model);

} // namespace pollenward::upstream
