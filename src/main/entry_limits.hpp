#pragma once

#include "core/runtime_clock.hpp"
#include "core/sharded_map.hpp"
#include "operators/service_settings.hpp"
#include "upstream/placement_state.hpp"

namespace pollenward::main {

/// Concurrency limit of each service: the slots that this daemon uses now plus
/// the free slots of the workers that it can send to; a caller::limit_source.
class entry_limits {
public:
    explicit entry_limits(const upstream::placement_state& placement)
        : placement(placement)
    {
    }

    double limit(const core::service_id& service) const
    {
        return this->in_use.find(service).value_or(0)
            + this->placement.free_slots(service, core::runtime_clock::now());
    }

    /// Share of the grants that each rank keeps under overload, so that no kind
    /// is starved by a flood of more urgent ones.
    operators::rank_shares minimum_shares(
        const core::service_id& /*service*/) const
    {
        return { 0, standard_share, background_share };
    }

    void add_in_use(const core::service_id& service, int change)
    {
        this->in_use.visit(
            service, [] { return 0; }, [&](int& value) { value += change; });
    }

private:
    /// A kind that is served less than a quarter as often as the others counts
    /// as starved; these leave two thirds of the grants to the urgent rank.
    static constexpr double standard_share = 0.2;
    static constexpr double background_share = 0.15;

    const upstream::placement_state& placement;
    core::sharded_map<core::service_id, int> in_use;
};

} // namespace pollenward::main
