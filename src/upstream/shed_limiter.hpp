#pragma once

#include "core/runtime_clock.hpp"

#include <algorithm>
#include <compare>

namespace pollenward::upstream {

/// Limits the requests that one daemon has in flight on one service, adapted to
/// the sheds of its workers by additive increase and multiplicative decrease.
/// It reacts within one round trip, long before an aggregator has computed the
/// demand of the fleet. Requests in flight include those on the network, which
/// assigned slots do not.
class shed_limiter {
public:
    int get_in_flight() const { return this->in_flight; }

    /// Practically unlimited until the service sheds a request.
    double get_limit() const { return this->limit; }

    shed_limiter with_start() const
    {
        shed_limiter next = *this;
        ++next.in_flight;
        return next;
    }

    /// After an attempt that was not shed.
    shed_limiter with_end() const
    {
        shed_limiter next = *this;
        --next.in_flight;
        next.limit = std::min(max_limit, this->limit + increase / this->limit);
        return next;
    }

    /// After a shed. The limit does not fall below `min_limit`, the safe share
    /// of this daemon, so that a rare shed at low load does not serialize
    /// requests.
    shed_limiter with_shed(double min_limit, core::time_point now) const
    {
        shed_limiter next = *this;
        --next.in_flight;
        if (now < this->next_decrease)
        {
            return next;
        }
        const double used
            = std::min(this->limit, static_cast<double>(this->in_flight));
        next.limit = std::max({ 1.0, min_limit, used * decrease_factor });
        next.next_decrease = now + decrease_interval;
        return next;
    }

    auto operator<=>(const shed_limiter&) const = default;

private:
    static constexpr double max_limit = 1e6;
    static constexpr double decrease_factor = 0.9;
    /// Requests by which the limit grows while as many requests end as it
    /// allows. Small, since all daemons of the fleet grow at the same time.
    static constexpr double increase = 0.2;
    /// Sheds of requests that were sent before a decrease reflect the old
    /// limit.
    static constexpr core::milliseconds decrease_interval{ 20 };

    int in_flight = 0;
    double limit = max_limit;
    core::time_point next_decrease;
};

} // namespace pollenward::upstream
