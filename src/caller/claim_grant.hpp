#pragma once

#include "core/runtime_clock.hpp"

#include <compare>
#include <cstddef>
#include <string>
#include <utility>

namespace pollenward::caller {

/// Status of a finished claim on a request id.
enum class claim_status {
    /// The request needs no claim.
    not_needed,
    /// All owners granted it.
    granted,
    /// The id was claimed before: the request may have run.
    duplicate,
    /// An owner refused or did not reply: the request has not run.
    refused
};

inline constexpr std::size_t claim_status_count = 4;

/// Longest time between the start of a claim and the send to a worker. A
/// daemon that was paused for longer must not use its grant.
inline constexpr core::seconds max_grant_age{ 2 };

/// The result of a claim on a request id.
class claim_grant {
public:
    /// `started_at` is the time at which the claim was requested.
    static claim_grant make(
        claim_status status, std::string reason, core::time_point started_at)
    {
        claim_grant made;
        made.status = status;
        made.reason = std::move(reason);
        made.started_at = started_at;
        return made;
    }

    claim_status get_status() const { return this->status; }
    const std::string& get_reason() const { return this->reason; }

    /// True if the request may be sent now.
    bool is_usable(core::time_point now) const
    {
        const bool is_fresh = now - this->started_at <= max_grant_age;
        return this->status == claim_status::not_needed
            || (this->status == claim_status::granted && is_fresh);
    }

    auto operator<=>(const claim_grant&) const = default;

private:
    claim_status status = claim_status::refused;
    std::string reason;
    core::time_point started_at;
};

/// The state of a claimed request, as recorded by the owners of the claim.
enum class claim_state {
    /// It may be running.
    running,
    /// It ran or may have run; the claim stays until it expires.
    finished,
    /// It certainly did not run; the claim is removed.
    not_run
};

} // namespace pollenward::caller
