#pragma once

#include "core/runtime_clock.hpp"

#include <algorithm>
#include <compare>
#include <cstdint>

namespace pollenward::operators {

/// Token bucket that limits the log lines of one kind of event to a steady rate
/// and a burst, and counts the suppressed lines.
class log_rate_limiter {
public:
    static log_rate_limiter make(double lines_per_second, double burst)
    {
        log_rate_limiter made;
        made.rate = lines_per_second;
        made.burst = burst;
        made.tokens = burst;
        return made;
    }

    /// A copy with the tokens added up to `now`.
    log_rate_limiter refilled_at(core::time_point now) const
    {
        log_rate_limiter next = *this;
        const double elapsed
            = std::max(0.0, core::to_seconds(now - this->last));
        next.tokens
            = std::min(this->burst, this->tokens + elapsed * this->rate);
        next.last = now;
        return next;
    }

    bool allows_line() const { return this->tokens >= 1; }
    std::uint64_t get_suppressed_count() const
    {
        return this->suppressed_count;
    }

    /// A copy with one token less; the count of suppressed lines restarts.
    log_rate_limiter with_written_line() const
    {
        log_rate_limiter next = *this;
        next.tokens -= 1;
        next.suppressed_count = 0;
        return next;
    }

    log_rate_limiter with_suppressed_line() const
    {
        log_rate_limiter next = *this;
        ++next.suppressed_count;
        return next;
    }

    auto operator<=>(const log_rate_limiter&) const = default;

private:
    double rate = 0;
    double burst = 0;
    double tokens = 0;
    core::time_point last;
    std::uint64_t suppressed_count = 0;
};

} // namespace pollenward::operators
