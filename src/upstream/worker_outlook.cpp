#include "upstream/worker_outlook.hpp"

#include <algorithm>
#include <cmath>

namespace pollenward::upstream {

namespace {

    /// Moves a probability towards the share of a worker without evidence.
    double forget(
        double faulty, core::duration elapsed, const gray_failure_model& model)
    {
        const double kept = std::exp(-core::to_seconds(elapsed)
            / core::to_seconds(core::duration(model.memory)));
        return model.faulty_share + (faulty - model.faulty_share) * kept;
    }

    /// How much likelier the trace is if the worker was faulty when the
    /// request was sent than if it was healthy.
    double likelihood_ratio(const exchange_trace& trace,
        const latency_profile& latencies, const gray_failure_model& model,
        core::time_point now)
    {
        const double answers = 1 - model.lost_share;
        switch (trace.get_state())
        {
        case trace_state::answered:
            return answers;
        case trace_state::failed:
            return model.lost_share / model.error_share;
        case trace_state::waiting:
            break;
        }
        const double survival = latencies.survival(now - trace.get_sent_at());
        // A healthy worker loses a few requests too.
        const double healthy
            = model.error_share + (1 - model.error_share) * survival;
        return (model.lost_share + answers * survival) / healthy;
    }

    double with_evidence(double faulty, double ratio)
    {
        // Never certain: the worker may change its state unseen.
        constexpr double least = 0.002;
        const double updated = faulty * ratio / (faulty * ratio + (1 - faulty));
        return std::clamp(updated, least, 1 - least);
    }

} // namespace

double faulty_probability(const exchange_traces& traces,
    const latency_profile& latencies, const gray_failure_model& model,
    core::time_point now)
{
    exchange_traces ordered = traces;
    std::sort(ordered.begin(), ordered.end());
    double faulty = model.faulty_share;
    core::time_point last = ordered.empty() ? now : ordered[0].get_sent_at();
    for (const exchange_trace& each : ordered)
    {
        faulty = forget(faulty, each.get_sent_at() - last, model);
        faulty = with_evidence(
            faulty, likelihood_ratio(each, latencies, model, now));
        last = each.get_sent_at();
    }
    return forget(faulty, now - last, model);
}

double loss_probability(double faulty, const gray_failure_model& model)
{
    return faulty * model.lost_share + (1 - faulty) * model.error_share;
}

} // namespace pollenward::upstream
