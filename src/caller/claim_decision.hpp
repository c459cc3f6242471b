#pragma once

#include "caller/caller_request.hpp"
#include "caller/claim_answer.hpp"
#include "caller/claim_grant.hpp"

#include <vector>

namespace pollenward::caller {

/// Only a non-idempotent request whose id came from its caller is claimed: an
/// id that a daemon generated cannot be sent again.
inline bool needs_claim(const caller_request& request)
{
    return !request.get_kind().is_idempotent() && request.is_id_from_caller();
}

/// Combines the owners' answers to a claim. It is granted only if all of them,
/// and at least one, grant it.
claim_grant decide_claim(
    const std::vector<claim_answer>& answers, core::time_point started_at);

} // namespace pollenward::caller
