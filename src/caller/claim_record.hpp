#pragma once

#include "caller/claim_grant.hpp"
#include "caller/claimant.hpp"
#include "core/ids.hpp"
#include "core/runtime_clock.hpp"

#include <compare>
#include <cstdint>
#include <utility>

namespace pollenward::caller {

/// How long an owner keeps a claim. A request that is sent again is recognised
/// only within this time, which must be far longer than any request's deadline.
inline constexpr core::seconds claim_ttl{ 600 };

/// An owner's record of one claimed request id.
class claim_record {
public:
    static claim_record make(core::request_id id, std::uint64_t fingerprint,
        claimant holder, claim_state state, core::time_point granted_at)
    {
        claim_record made;
        made.id = std::move(id);
        made.fingerprint = fingerprint;
        made.holder = std::move(holder);
        made.state = state;
        made.granted_at = granted_at;
        return made;
    }

    const core::request_id& get_id() const { return this->id; }
    std::uint64_t get_fingerprint() const { return this->fingerprint; }
    const claimant& get_holder() const { return this->holder; }
    claim_state get_state() const { return this->state; }
    core::time_point get_granted_at() const { return this->granted_at; }

    bool is_expired(core::time_point now) const
    {
        return now - this->granted_at >= claim_ttl;
    }

    claim_record with_state(claim_state next) const
    {
        return make(
            this->id, this->fingerprint, this->holder, next, this->granted_at);
    }

    auto operator<=>(const claim_record&) const = default;

private:
    core::request_id id;
    std::uint64_t fingerprint = 0;
    claimant holder;
    claim_state state = claim_state::running;
    core::time_point granted_at;
};

} // namespace pollenward::caller
