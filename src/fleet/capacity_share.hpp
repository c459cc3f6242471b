#pragma once

#include "core/rank.hpp"
#include "core/runtime_clock.hpp"
#include "fleet/evidence_report.hpp"

#include <compare>
#include <vector>

namespace pollenward::fleet {

/// How long a daemon may use the share that a reply allocates to it.
inline constexpr core::milliseconds share_validity = core::seconds(2);

/// Share of a service's slots that each rank keeps under overload.
using minimum_rank_shares = std::array<double, core::rank_count>;

inline double total_of(const rank_demand& demand)
{
    double total = 0;
    for (const double each : demand)
    {
        total += each;
    }
    return total;
}

/// The slots that one daemon or one zone requests.
class share_request {
public:
    /// `daemons` is the number of daemons that the request is for.
    static share_request make(const rank_demand& demand, int daemons)
    {
        share_request made;
        made.demand = demand;
        made.daemons = daemons;
        return made;
    }

    const rank_demand& get_demand() const { return this->demand; }
    int get_daemons() const { return this->daemons; }

    auto operator<=>(const share_request&) const = default;

private:
    rank_demand demand{};
    int daemons = 1;
};

/// Allocates `capacity` slots to the requests; returns the shares in the order
/// of the requests. While the total demand fits, each request gets its demand
/// plus all free slots, so that bursts are not throttled: the shares add up to
/// more than the capacity. Under overload each first gets up to one slot for
/// each of its daemons. Then the most urgent rank goes first, lower ranks keep
/// their minimum share, and requests of one rank get slots in proportion to
/// their unmet demand. The shares then add up to the capacity, plus at most one
/// slot for each daemon whose demand is below one. Each share is at least the
/// number of its daemons.
std::vector<double> allocate_capacity(double capacity,
    const std::vector<share_request>& requests,
    const minimum_rank_shares& minimum_shares);

/// True if the total demand of the requests exceeds the capacity.
bool is_overloaded(double capacity, const std::vector<share_request>& requests);

} // namespace pollenward::fleet
