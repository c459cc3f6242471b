#pragma once

#include "core/rank.hpp"
#include "core/runtime_clock.hpp"
#include "fleet/evidence_report.hpp"

#include <compare>
#include <vector>

namespace pollenward::fleet {

/// How long a daemon may rely on a dealt share.
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

/// What one daemon or one zone asks for.
class share_claim {
public:
    /// `daemons` is the number of daemons behind the claim.
    static share_claim make(const rank_demand& demand, int daemons)
    {
        share_claim made;
        made.demand = demand;
        made.daemons = daemons;
        return made;
    }

    const rank_demand& get_demand() const { return this->demand; }
    int get_daemons() const { return this->daemons; }

    auto operator<=>(const share_claim&) const = default;

private:
    rank_demand demand{};
    int daemons = 1;
};

/// Deals `capacity` slots to the claims, in their order. While the demand of
/// all claims fits, each gets its demand and all free slots on top, so that
/// bursts are not throttled: the shares add up to more than the capacity.
/// Beyond that, each gets up to one slot for each of its daemons first, then
/// the most urgent rank goes first and lower ranks keep their minimum share;
/// within a rank, claims get parts in proportion to what they lack. The shares
/// then add up to the capacity, plus at most one slot for each daemon whose
/// demand is below one. Each share is at least the number of its daemons.
std::vector<double> deal_capacity(double capacity,
    const std::vector<share_claim>& claims,
    const minimum_rank_shares& minimum_shares);

/// True if the demand of the claims exceeds the capacity.
bool is_overloaded(double capacity, const std::vector<share_claim>& claims);

} // namespace pollenward::fleet
