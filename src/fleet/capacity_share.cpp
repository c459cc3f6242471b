#include "fleet/capacity_share.hpp"

#include <algorithm>
#include <cstddef>

namespace pollenward::fleet {

namespace {

    /// A claim while slots are dealt to it.
    struct open_claim {
        rank_demand unmet{};
        double share = 0;
    };

    double total_demand(const std::vector<share_claim>& claims)
    {
        double total = 0;
        for (const share_claim& each : claims)
        {
            total += total_of(each.get_demand());
        }
        return total;
    }

    /// Gives the claim up to `slots`, most urgent demand first; returns what
    /// it took.
    double serve(open_claim& claim, double slots)
    {
        double taken = 0;
        for (double& unmet : claim.unmet)
        {
            const double part = std::min(unmet, slots - taken);
            unmet -= part;
            taken += part;
        }
        claim.share += taken;
        return taken;
    }

    /// Gives at most `slots` to the demand of one rank, in proportion to it;
    /// returns what was taken.
    double serve_rank(
        std::vector<open_claim>& claims, std::size_t rank, double slots)
    {
        double unmet = 0;
        for (const open_claim& each : claims)
        {
            unmet += each.unmet[rank];
        }
        const double part = unmet > 0 ? std::min(1.0, slots / unmet) : 0;
        for (open_claim& each : claims)
        {
            each.share += each.unmet[rank] * part;
            each.unmet[rank] -= each.unmet[rank] * part;
        }
        return unmet * part;
    }

    void serve_ranks(std::vector<open_claim>& claims, double slots,
        const minimum_rank_shares& minimum_shares)
    {
        double left = slots;
        // The urgent rank goes first anyway and needs no minimum.
        for (std::size_t rank = 1; rank < core::rank_count; ++rank)
        {
            left -= serve_rank(
                claims, rank, std::min(left, slots * minimum_shares[rank]));
        }
        for (std::size_t rank = 0; rank < core::rank_count; ++rank)
        {
            left -= serve_rank(claims, rank, left);
        }
    }

    std::vector<double> deal_scarce(double capacity,
        const std::vector<share_claim>& claims,
        const minimum_rank_shares& minimum_shares)
    {
        std::vector<open_claim> open;
        double left = capacity;
        for (const share_claim& each : claims)
        {
            open_claim next;
            next.unmet = each.get_demand();
            left -= serve(next, each.get_daemons());
            open.push_back(next);
        }
        serve_ranks(open, std::max(left, 0.0), minimum_shares);
        std::vector<double> shares;
        for (std::size_t i = 0; i < claims.size(); ++i)
        {
            shares.push_back(std::max(
                open[i].share, static_cast<double>(claims[i].get_daemons())));
        }
        return shares;
    }

} // namespace

bool is_overloaded(double capacity, const std::vector<share_claim>& claims)
{
    return total_demand(claims) > capacity;
}

std::vector<double> deal_capacity(double capacity,
    const std::vector<share_claim>& claims,
    const minimum_rank_shares& minimum_shares)
{
    if (is_overloaded(capacity, claims))
    {
        return deal_scarce(capacity, claims, minimum_shares);
    }
    const double free = capacity - total_demand(claims);
    std::vector<double> shares;
    shares.reserve(claims.size());
    for (const share_claim& each : claims)
    {
        shares.push_back(std::max(total_of(each.get_demand()) + free,
            static_cast<double>(each.get_daemons())));
    }
    return shares;
}

} // namespace pollenward::fleet
