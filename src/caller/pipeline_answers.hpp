#pragma once

#include "caller/admission_decision.hpp"
#include "caller/caller_answer.hpp"
#include "caller/caller_request.hpp"
#include "caller/claim_grant.hpp"
#include "upstream/dispatch_result.hpp"

namespace pollenward::caller {

/// The answer to a request that was not admitted.
caller_answer make_answer(const admission_decision& refused);

/// The answer to a request whose claim does not allow it to be sent.
caller_answer make_answer(const claim_grant& grant);

/// The answer after a dispatch. `is_late` is true if the deadline has passed.
caller_answer make_answer(
    const upstream::dispatch_result& result, bool is_late);

/// The answer to a request that the guard blocks. A caller that chose the
/// request id may have sent the request before, and it may have run then.
caller_answer blocked_answer(const caller_request& request);

/// The answer to a request whose deadline passed before it was sent.
caller_answer late_answer();

} // namespace pollenward::caller
