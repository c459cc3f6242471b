#include "upstream/concurrency_limit.hpp"

#include <cmath>

namespace pollenward::upstream {

namespace {

    constexpr double decrease_factor = 0.9;
    /// A recent latency above the usual one by this factor shows that requests
    /// queue at the worker; kinds of one service differ by less on average.
    constexpr double slow_factor = 2;
    constexpr double recent_weight = 0.1;
    constexpr double usual_weight = 0.005;
    /// Answers to requests that were sent before a decrease reflect the old
    /// limit.
    constexpr core::milliseconds decrease_interval{ 100 };

    double exponential_average(double present, double sample, double weight)
    {
        return present == 0 ? sample : present + weight * (sample - present);
    }

} // namespace

concurrency_limit concurrency_limit::make(
    core::slot_count slots, double ceiling)
{
    concurrency_limit made;
    made.ceiling = std::max(1.0, ceiling);
    made.limit
        = std::clamp(static_cast<double>(slots.get()), 1.0, made.ceiling);
    return made;
}

concurrency_limit concurrency_limit::with_answer(
    core::duration latency, int in_flight, core::time_point now) const
{
    const double sample = core::to_seconds(latency);
    concurrency_limit next = *this;
    next.recent_latency
        = exponential_average(this->recent_latency, sample, recent_weight);
    next.usual_latency
        = exponential_average(this->usual_latency, sample, usual_weight);
    if (next.recent_latency > slow_factor * next.usual_latency)
    {
        return next.with_decrease(now);
    }
    const bool is_in_use = in_flight * 2 >= this->limit;
    if (is_in_use)
    {
        next.limit = std::min(this->ceiling, this->limit + 1 / this->limit);
    }
    return next;
}

concurrency_limit concurrency_limit::with_shed(core::time_point now) const
{
    return this->with_decrease(now);
}

concurrency_limit concurrency_limit::with_decrease(core::time_point now) const
{
    if (now < this->next_decrease)
    {
        return *this;
    }
    concurrency_limit next = *this;
    next.limit = std::max(1.0, this->limit * decrease_factor);
    next.next_decrease = now + decrease_interval;
    return next;
}

core::slot_count safe_share(
    core::slot_count service_slots, std::int64_t live_daemons)
{
    return core::slot_count(std::max<std::int64_t>(
        1, service_slots.get() / std::max<std::int64_t>(1, live_daemons)));
}

core::slot_count service_limit(double learned_limit,
    const std::optional<fleet_share>& share, core::slot_count safe,
    core::time_point now)
{
    const core::slot_count learned(
        std::max<std::int64_t>(1, std::llround(std::floor(learned_limit))));
    if (!share || now >= share->get_expiry())
    {
        return std::min(learned, safe);
    }
    // Under overload the share is guaranteed to this daemon. The learned limit
    // can be higher, since slots are free while requests are on the network.
    return share->is_overloaded() ? std::max(learned, share->get_slots())
                                  : learned;
}

} // namespace pollenward::upstream
