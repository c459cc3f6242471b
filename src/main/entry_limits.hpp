#pragma once

#include "core/runtime_clock.hpp"
#include "core/sharded_map.hpp"
#include "operators/service_settings.hpp"
#include "upstream/placement_state.hpp"

namespace pollenward::main {

/// How much of each service this daemon may use: what it uses now and what is
/// free on the workers that it would send to; a caller::limit_source.
class entry_limits {
public:
    explicit entry_limits(const upstream::placement_state& board)
        : board(board)
    {
    }

    double limit(const core::service_id& service) const
    {
        return this->in_use.find(service).value_or(0)
            + this->board.free_slots(service, core::runtime_clock::now());
    }

    /// Under overload a rank keeps this share of the grants, so that no kind
    /// starves behind a flood of more urgent ones.
    operators::rank_shares minimum_shares(
        const core::service_id& /*service*/) const
    {
        return { 0, standard_share, background_share };
    }

    void count(const core::service_id& service, int change)
    {
        this->in_use.visit(
            service, [] { return 0; }, [&](int& mine) { mine += change; });
    }

private:
    /// A kind that is served less than a quarter as often as the others counts
    /// as starved; these leave two thirds of the grants to the urgent rank.
    static constexpr double standard_share = 0.2;
    static constexpr double background_share = 0.15;

    const upstream::placement_state& board;
    core::sharded_map<core::service_id, int> in_use;
};

} // namespace pollenward::main
