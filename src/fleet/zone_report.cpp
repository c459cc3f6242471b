#include "fleet/zone_report.hpp"

#include <algorithm>

namespace pollenward::fleet {

namespace {

    core::milliseconds age_of(core::time_point at, core::time_point now)
    {
        return std::max(core::milliseconds::zero(),
            std::chrono::duration_cast<core::milliseconds>(now - at));
    }

} // namespace

worker_summary worker_summary::of(const core::worker_id& worker,
    const upstream::worker_traffic& traffic, core::time_point now)
{
    std::vector<send_sample_summary> samples;
    samples.reserve(traffic.get_samples().size());
    for (const upstream::send_sample& each : traffic.get_samples())
    {
        samples.push_back(send_sample_summary::make(
            age_of(each.get_sent_at(), now), each.get_state()));
    }
    std::optional<load_summary> load;
    if (const auto& reported = traffic.get_load())
    {
        load = load_summary::make(age_of(reported->get_at(), now),
            reported->get_running(), reported->get_waiting());
    }
    const auto made = make(worker, std::move(samples),
        static_cast<std::uint64_t>(traffic.get_in_flight()), load);
    const auto& rate = traffic.get_rate();
    return rate ? made.with_rate(rate_summary::make(
               age_of(rate->get_at(), now), rate->get_per_second()))
                : made;
}

upstream::worker_traffic worker_summary::to_traffic(core::time_point now) const
{
    upstream::send_samples restored;
    restored.reserve(this->samples.size());
    for (const send_sample_summary& each : this->samples)
    {
        restored.push_back(upstream::send_sample::make(
            now - each.get_age(), each.get_state()));
    }
    std::sort(restored.begin(), restored.end());
    std::optional<upstream::load_hint> hint;
    if (this->load)
    {
        hint = upstream::load_hint::make(this->load->get_running(),
            this->load->get_waiting(), now - this->load->get_age());
    }
    const auto made = upstream::worker_traffic::make(
        std::move(restored), static_cast<int>(this->in_flight), hint);
    return this->rate ? made.with_rate(upstream::rate_statement::make(
               this->rate->get_per_second(), now - this->rate->get_age()))
                      : made;
}

} // namespace pollenward::fleet
