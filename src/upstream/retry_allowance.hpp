#pragma once

#include "core/runtime_clock.hpp"

#include <algorithm>
#include <compare>

namespace pollenward::upstream {

/// Limits the sends of the whole fleet to a service beyond the first of each
/// request: in each `window`, `ratio` times the requests plus `slack`.
struct retry_limits {
    double ratio = 0.1;
    double slack = 10;
    core::milliseconds window{ 10'000 };

    auto operator<=>(const retry_limits&) const = default;
};

/// Token bucket for one daemon's sends to a service beyond the first of each
/// request. Each request adds a fraction of a token, so that all daemons
/// together stay within the limits without exchanging messages. It holds at
/// most this daemon's part of the slack.
class retry_allowance {
public:
    /// The slack is divided among `daemons`. A daemon starts with half of its
    /// part: one that is killed and restarted would otherwise use it twice.
    static retry_allowance make(const retry_limits& limits, double daemons)
    {
        retry_allowance made;
        made.tokens = max_tokens_of(limits, daemons) / 2;
        return made.with_limits(limits, daemons);
    }

    /// Keeps the tokens, up to the new limits and number of daemons.
    retry_allowance with_limits(
        const retry_limits& limits, double daemons) const
    {
        retry_allowance next = *this;
        next.tokens_per_request = limits.ratio * ratio_share;
        next.max_tokens = max_tokens_of(limits, daemons);
        next.tokens = std::min(next.tokens, next.max_tokens);
        return next;
    }

    retry_allowance with_request() const
    {
        retry_allowance next = *this;
        next.tokens = std::min(
            this->max_tokens, this->tokens + this->tokens_per_request);
        return next;
    }

    bool allows_send() const { return this->tokens >= 1; }

    /// Removes a token; unchanged if a send is not allowed.
    retry_allowance with_send() const
    {
        retry_allowance next = *this;
        next.tokens -= this->allows_send() ? 1 : 0;
        return next;
    }

    auto operator<=>(const retry_allowance&) const = default;

private:
    /// Share of the ratio that is used. The rest is for requests that are
    /// counted in another window than their second sends.
    static constexpr double ratio_share = 0.9;

    static double max_tokens_of(const retry_limits& limits, double daemons)
    {
        return std::max(1.0, limits.slack / std::max(daemons, 1.0));
    }

    double tokens_per_request = 0;
    double max_tokens = 1;
    double tokens = 0;
};

} // namespace pollenward::upstream
