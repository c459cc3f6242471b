#pragma once

#include <algorithm>
#include <compare>
#include <cstdint>

namespace pollenward::upstream {

/// Bounds the attempts of one service and rank beyond the first of each
/// request. Each request adds a tenth of an attempt, so that all attempts
/// together never exceed 1.1 times the requests. It starts empty: an initial
/// allowance per daemon, service and rank would break that bound for the fleet
/// as a whole.
class retry_budget {
public:
    /// Most unused tenths; bounds the burst of retries after a time with few
    /// retries to 10 attempts.
    static constexpr std::int64_t max_tenths = 100;

    retry_budget with_request() const
    {
        return with_tenths(std::min(this->tenths + 1, max_tenths));
    }

    /// Whether the budget covers one more attempt.
    bool allows_retry() const { return this->tenths >= tenths_per_attempt; }

    /// Unchanged if the budget does not allow a retry.
    retry_budget with_retry() const
    {
        return this->allows_retry()
            ? with_tenths(this->tenths - tenths_per_attempt)
            : *this;
    }

    auto operator<=>(const retry_budget&) const = default;

private:
    static constexpr std::int64_t tenths_per_attempt = 10;

    static retry_budget with_tenths(std::int64_t tenths)
    {
        retry_budget made;
        made.tenths = tenths;
        return made;
    }

    std::int64_t tenths = 0;
};

} // namespace pollenward::upstream
