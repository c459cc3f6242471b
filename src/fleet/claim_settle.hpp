#pragma once

#include "caller/claim_grant.hpp"
#include "caller/claimant.hpp"
#include "core/ids.hpp"

#include <compare>
#include <utility>

namespace pollenward::fleet {

/// Reports to an owner how a claimed request ended.
class claim_settle {
public:
    static claim_settle make(core::request_id request, caller::claimant holder,
        caller::claim_state state)
    {
        claim_settle made;
        made.request = std::move(request);
        made.holder = std::move(holder);
        made.state = state;
        return made;
    }

    const core::request_id& get_request() const { return this->request; }
    const caller::claimant& get_holder() const { return this->holder; }
    caller::claim_state get_state() const { return this->state; }

    auto operator<=>(const claim_settle&) const = default;

private:
    core::request_id request;
    caller::claimant holder;
    caller::claim_state state = caller::claim_state::running;
};

} // namespace pollenward::fleet
