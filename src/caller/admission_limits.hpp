#pragma once

#include "core/rank.hpp"
#include "operators/service_settings.hpp"

#include <algorithm>
#include <compare>
#include <cstddef>

namespace pollenward::caller {

/// The current limits of a service on one daemon.
class admission_limits {
public:
    /// `concurrency` is the number of requests that may run at once; values
    /// below 1 are raised to 1. A limit of 0 would stop the service
    /// permanently: without a running request nothing raises the limit again.
    static admission_limits make(
        double concurrency, const operators::rank_shares& minimum_shares)
    {
        admission_limits made;
        made.concurrency = std::max(concurrency, 1.0);
        made.minimum_shares = minimum_shares;
        return made;
    }

    double get_concurrency() const { return this->concurrency; }

    /// Share of the admissions that is reserved for the rank under overload.
    double get_minimum_share(core::rank rank) const
    {
        return this->minimum_shares[core::index_of(rank)];
    }

    auto operator<=>(const admission_limits&) const = default;

private:
    double concurrency = 1;
    operators::rank_shares minimum_shares{};
};

/// How many requests may wait for one service.
class queue_bounds {
public:
    /// Each rank has capacity for `reserved` waiting requests; all ranks share
    /// capacity for `shared` more.
    static queue_bounds make(std::size_t reserved, std::size_t shared)
    {
        queue_bounds made;
        made.reserved = reserved;
        made.shared = shared;
        return made;
    }

    std::size_t get_reserved() const { return this->reserved; }
    std::size_t get_shared() const { return this->shared; }

    auto operator<=>(const queue_bounds&) const = default;

private:
    // At 80 admissions/s (two slots, 25 ms each) 1024 requests are 13 s of
    // work, longer than the deadlines of ordinary kinds.
    std::size_t reserved = 64;
    std::size_t shared = 1024;
};

} // namespace pollenward::caller
