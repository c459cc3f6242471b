#include "fleet/capacity_share.hpp"

#include <algorithm>
#include <cstddef>

namespace pollenward::fleet {

namespace {

    /// A share request while slots are allocated to it.
    struct open_request {
        rank_demand unmet{};
        double share = 0;
    };

    double total_demand(const std::vector<share_request>& requests)
    {
        double total = 0;
        for (const share_request& each : requests)
        {
            total += total_of(each.get_demand());
        }
        return total;
    }

    /// Allocates at most `slots` to the request, most urgent demand first;
    /// returns the number allocated.
    double allocate_by_urgency(open_request& request, double slots)
    {
        double allocated = 0;
        for (double& unmet : request.unmet)
        {
            const double part = std::min(unmet, slots - allocated);
            unmet -= part;
            allocated += part;
        }
        request.share += allocated;
        return allocated;
    }

    /// Allocates at most `slots` to the demand of one rank, in proportion to
    /// it; returns the number allocated.
    double allocate_to_rank(
        std::vector<open_request>& requests, std::size_t rank, double slots)
    {
        double unmet = 0;
        for (const open_request& each : requests)
        {
            unmet += each.unmet[rank];
        }
        const double part = unmet > 0 ? std::min(1.0, slots / unmet) : 0;
        for (open_request& each : requests)
        {
            each.share += each.unmet[rank] * part;
            each.unmet[rank] -= each.unmet[rank] * part;
        }
        return unmet * part;
    }

    void allocate_by_rank(std::vector<open_request>& requests, double slots,
        const minimum_rank_shares& minimum_shares)
    {
        double left = slots;
        // The urgent rank is served first anyway and needs no minimum.
        for (std::size_t rank = 1; rank < core::rank_count; ++rank)
        {
            left -= allocate_to_rank(
                requests, rank, std::min(left, slots * minimum_shares[rank]));
        }
        for (std::size_t rank = 0; rank < core::rank_count; ++rank)
        {
            left -= allocate_to_rank(requests, rank, left);
        }
    }

    std::vector<double> allocate_scarce_capacity(double capacity,
        const std::vector<share_request>& requests,
        const minimum_rank_shares& minimum_shares)
    {
        std::vector<open_request> open;
        double left = capacity;
        for (const share_request& each : requests)
        {
            open_request next;
            next.unmet = each.get_demand();
            left -= allocate_by_urgency(next, each.get_daemons());
            open.push_back(next);
        }
        allocate_by_rank(open, std::max(left, 0.0), minimum_shares);
        std::vector<double> shares;
        for (std::size_t i = 0; i < requests.size(); ++i)
        {
            shares.push_back(std::max(
                open[i].share, static_cast<double>(requests[i].get_daemons())));
        }
        return shares;
    }

} // namespace

bool is_overloaded(double capacity, const std::vector<share_request>& requests)
{
    return total_demand(requests) > capacity;
}

std::vector<double> allocate_capacity(double capacity,
    const std::vector<share_request>& requests,
    const minimum_rank_shares& minimum_shares)
{
    if (is_overloaded(capacity, requests))
    {
        return allocate_scarce_capacity(capacity, requests, minimum_shares);
    }
    const double free = capacity - total_demand(requests);
    std::vector<double> shares;
    shares.reserve(requests.size());
    for (const share_request& each : requests)
    {
        shares.push_back(std::max(total_of(each.get_demand()) + free,
            static_cast<double>(each.get_daemons())));
    }
    return shares;
}

} // namespace pollenward::fleet
