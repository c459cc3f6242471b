#pragma once

#include "core/runtime_clock.hpp"

#include <algorithm>
#include <compare>

namespace pollenward::upstream {

/// Requests that one daemon keeps on one service at a time, as learned from the
/// sheds of its workers: additive increase, multiplicative decrease. It reacts
/// within one round trip, long before a home knows the demand of the fleet, and
/// in-flight requests include the time on the network, which dealt slots do
/// not.
class shed_response {
public:
    int get_in_flight() const { return this->in_flight; }

    /// The limit; nothing bounds a service that has shed no request yet.
    double get_limit() const { return this->limit; }

    shed_response with_start() const
    {
        shed_response next = *this;
        ++next.in_flight;
        return next;
    }

    /// After an attempt that was not shed.
    shed_response with_end() const
    {
        shed_response next = *this;
        --next.in_flight;
        next.limit = std::min(largest, this->limit + growth / this->limit);
        return next;
    }

    /// After a shed. The limit does not fall below `least`, the safe share of
    /// this daemon, so that a rare shed at low load does not serialize
    /// requests.
    shed_response with_shed(double least, core::time_point now) const
    {
        shed_response next = *this;
        --next.in_flight;
        if (now < this->next_decrease)
        {
            return next;
        }
        const double used
            = std::min(this->limit, static_cast<double>(this->in_flight));
        next.limit = std::max({ 1.0, least, used * decrease_factor });
        next.next_decrease = now + decrease_interval;
        return next;
    }

    auto operator<=>(const shed_response&) const = default;

private:
    static constexpr double largest = 1e6;
    static constexpr double decrease_factor = 0.9;
    /// Requests by which the limit grows while as many as it allows end. Small,
    /// since each daemon of the fleet grows at the same time.
    static constexpr double growth = 0.2;
    /// Sheds of requests that were sent before a decrease show the old limit.
    static constexpr core::milliseconds decrease_interval{ 20 };

    int in_flight = 0;
    double limit = largest;
    core::time_point next_decrease;
};

} // namespace pollenward::upstream
