#pragma once

#include "caller/claim_grant.hpp"
#include "fleet/claim_request.hpp"

#include <compare>
#include <cstdint>
#include <utility>

namespace pollenward::fleet {

/// Tells an owner how a claimed request ended.
class claim_settle {
public:
    static claim_settle make(core::request_id request, std::uint32_t partition,
        claimant by, caller::claim_state state)
    {
        claim_settle made;
        made.request = std::move(request);
        made.partition = partition;
        made.by = std::move(by);
        made.state = state;
        return made;
    }

    const core::request_id& get_request() const { return this->request; }
    std::uint32_t get_partition() const { return this->partition; }
    const claimant& get_claimant() const { return this->by; }
    caller::claim_state get_state() const { return this->state; }

    auto operator<=>(const claim_settle&) const = default;

private:
    core::request_id request;
    std::uint32_t partition = 0;
    claimant by;
    caller::claim_state state = caller::claim_state::running;
};

} // namespace pollenward::fleet
