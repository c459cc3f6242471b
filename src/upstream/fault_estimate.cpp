#include "upstream/fault_estimate.hpp"

#include <algorithm>
#include <cmath>

namespace pollenward::upstream {

namespace {

    /// Decays a probability towards that of a worker without samples.
    double decay_to_prior(
        double faulty, core::duration elapsed, const gray_failure_model& model)
    {
        const double kept = std::exp(-core::to_seconds(elapsed)
            / core::to_seconds(core::duration(model.decay_time)));
        return model.faulty_share + (faulty - model.faulty_share) * kept;
    }

    /// Ratio of the sample's likelihoods if the worker was faulty and if it was
    /// healthy when the request was sent.
    double likelihood_ratio(const send_sample& sample,
        const latency_profile& latencies, const gray_failure_model& model,
        core::time_point now)
    {
        const double answers = 1 - model.lost_share;
        switch (sample.get_state())
        {
        case sample_state::answered:
            return answers;
        case sample_state::failed:
            return model.lost_share / model.error_share;
        case sample_state::waiting:
            break;
        }
        const double survival = latencies.survival(now - sample.get_sent_at());
        // Healthy workers lose a few requests too.
        const double healthy
            = model.error_share + (1 - model.error_share) * survival;
        return (model.lost_share + answers * survival) / healthy;
    }

    double update_probability(double faulty, double ratio)
    {
        // Bounds the probability away from 0 and 1, since the worker may change
        // its state between two samples.
        constexpr double min_probability = 0.002;
        const double updated = faulty * ratio / (faulty * ratio + (1 - faulty));
        return std::clamp(updated, min_probability, 1 - min_probability);
    }

} // namespace

double faulty_probability(const send_samples& samples,
    const latency_profile& latencies, const gray_failure_model& model,
    core::time_point now)
{
    send_samples ordered = samples;
    std::sort(ordered.begin(), ordered.end());
    double faulty = model.faulty_share;
    core::time_point last = ordered.empty() ? now : ordered[0].get_sent_at();
    for (const send_sample& each : ordered)
    {
        faulty = decay_to_prior(faulty, each.get_sent_at() - last, model);
        faulty = update_probability(
            faulty, likelihood_ratio(each, latencies, model, now));
        last = each.get_sent_at();
    }
    return decay_to_prior(faulty, now - last, model);
}

double loss_probability(double faulty, const gray_failure_model& model)
{
    return faulty * model.lost_share + (1 - faulty) * model.error_share;
}

} // namespace pollenward::upstream
