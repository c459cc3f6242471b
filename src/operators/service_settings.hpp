#pragma once

#include "core/error.hpp"
#include "core/ids.hpp"
#include "core/rank.hpp"
#include "core/units.hpp"

#include <array>
#include <compare>
#include <optional>
#include <utility>

namespace pollenward::operators {

/// Minimum shares of a service's capacity per rank under overload, each from 0
/// to 1. The share of the urgent rank is not used, as it has priority anyway.
using rank_shares = std::array<double, core::rank_count>;

/// The declared settings of one service.
class service_settings {
public:
    /// Fails if the floor or a share is outside [0, 1], if the minimum shares
    /// of standard and background add up to more than 1, or if a worker has no
    /// slot or no connection.
    static std::optional<service_settings> create(core::service_id id,
        double floor, core::slot_count slots_per_worker,
        int connections_per_worker, const rank_shares& minimum_shares,
        core::error& reason);

    const core::service_id& get_id() const { return this->id; }

    /// Share of the live workers' slots that ejection must leave, from 0 to 1.
    double get_floor() const { return this->floor; }

    core::slot_count get_slots_per_worker() const
    {
        return this->slots_per_worker;
    }

    /// Connections that one worker accepts from all daemons together.
    int get_connections_per_worker() const
    {
        return this->connections_per_worker;
    }

    double get_minimum_share(core::rank rank) const
    {
        return this->minimum_shares[core::index_of(rank)];
    }

    auto operator<=>(const service_settings&) const = default;

private:
    core::service_id id;
    double floor = 0;
    core::slot_count slots_per_worker;
    int connections_per_worker = 0;
    rank_shares minimum_shares{};
};

} // namespace pollenward::operators
