#pragma once

#include "core/runtime_clock.hpp"

#include <algorithm>
#include <compare>

namespace pollenward::upstream {

/// How many sends beyond the first of each request a service takes from the
/// whole fleet: in each `window`, `ratio` of the requests and `slack` more.
struct retry_terms {
    double ratio = 0.1;
    double slack = 10;
    core::milliseconds window{ 10'000 };

    auto operator<=>(const retry_terms&) const = default;
};

/// One daemon's part of the sends beyond the first that a service takes. Each
/// request adds a share of a send, so that the parts of all daemons together
/// stay within the terms without a message; what is saved is at most this
/// daemon's part of the slack.
class retry_allowance {
public:
    /// `daemons` share the slack. A daemon starts with half of its part: one
    /// that was killed and started again would otherwise spend it twice.
    static retry_allowance make(const retry_terms& terms, double daemons)
    {
        retry_allowance made;
        made.sends = most_of(terms, daemons) / 2;
        return made.shared_by(terms, daemons);
    }

    /// The same savings when another number of daemons shares the slack.
    retry_allowance shared_by(const retry_terms& terms, double daemons) const
    {
        retry_allowance next = *this;
        next.earned_per_request = terms.ratio * earned_share;
        next.most = most_of(terms, daemons);
        next.sends = std::min(next.sends, next.most);
        return next;
    }

    retry_allowance with_request() const
    {
        retry_allowance next = *this;
        next.sends
            = std::min(this->most, this->sends + this->earned_per_request);
        return next;
    }

    bool allows_send() const { return this->sends >= 1; }

    /// Unchanged if it does not allow a send.
    retry_allowance with_send() const
    {
        retry_allowance next = *this;
        next.sends -= this->allows_send() ? 1 : 0;
        return next;
    }

    auto operator<=>(const retry_allowance&) const = default;

private:
    /// Keeps a tenth of the ratio for requests that are counted in another
    /// window than their second sends.
    static constexpr double earned_share = 0.9;

    static double most_of(const retry_terms& terms, double daemons)
    {
        return std::max(1.0, terms.slack / std::max(daemons, 1.0));
    }

    double earned_per_request = 0;
    double most = 1;
    double sends = 0;
};

} // namespace pollenward::upstream
