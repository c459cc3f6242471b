#pragma once

#include "core/ids.hpp"
#include "core/rank.hpp"
#include "core/runtime_clock.hpp"

#include <compare>
#include <cstdint>
#include <utility>

namespace pollenward::caller {

/// The properties of a request by which its service's admission queue orders
/// it.
class admission_ticket {
public:
    /// `number` is unique within the queue and grows with each request.
    static admission_ticket make(std::uint64_t number, core::rank rank,
        core::account_id account, core::time_point deadline)
    {
        admission_ticket made;
        made.number = number;
        made.rank = rank;
        made.account = std::move(account);
        made.deadline = deadline;
        return made;
    }

    std::uint64_t get_number() const { return this->number; }
    core::rank get_rank() const { return this->rank; }
    const core::account_id& get_account() const { return this->account; }
    core::time_point get_deadline() const { return this->deadline; }

    auto operator<=>(const admission_ticket&) const = default;

private:
    std::uint64_t number = 0;
    core::rank rank = core::rank::background;
    core::account_id account;
    core::time_point deadline;
};

} // namespace pollenward::caller
