#pragma once

#include "core/runtime_clock.hpp"
#include "upstream/latency_profile.hpp"
#include "upstream/send_sample.hpp"

namespace pollenward::upstream {

/// Parameters of the model of gray failures: a worker alternates between a
/// healthy state, in which it answers nearly all requests, and a faulty one, in
/// which it answers few of them although its probes pass.
struct gray_failure_model {
    /// Prior probability that a worker without samples is faulty.
    double faulty_share = 0.3;
    /// Share of the requests that a faulty worker loses.
    double lost_share = 0.75;
    /// Share of the requests that a healthy worker loses or fails.
    double error_share = 0.02;
    /// Time constant with which the estimate decays to the prior. A faulty
    /// state that lasts 9 s of 30 s gives 6.3 s: 1 / (1 / 9 s + 1 / 21 s).
    core::milliseconds decay_time{ 6300 };
};

/// Probability that a worker is faulty now: a hidden Markov model with two
/// states (Rabiner 1989), filtered over the samples in the order of their
/// sends. A request that waits longer than the service's usual latency
/// raises the probability long before its deadline.
double faulty_probability(const send_samples& samples,
    const latency_profile& latencies, const gray_failure_model& model,
    core::time_point now);

/// Probability that a request sent now is lost.
double loss_probability(double faulty, const gray_failure_model& model);

} // namespace pollenward::upstream
