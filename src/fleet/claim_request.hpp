#pragma once

#include "core/ids.hpp"
#include "core/units.hpp"

#include <compare>
#include <cstdint>
#include <utility>

namespace pollenward::fleet {

/// Who claims a request id. A repeated claim of the same claimant, incarnation
/// and attempt is the same claim.
class claimant {
public:
    static claimant make(core::daemon_id daemon,
        core::incarnation_number incarnation, std::uint32_t attempt)
    {
        claimant made;
        made.daemon = std::move(daemon);
        made.incarnation = incarnation;
        made.attempt = attempt;
        return made;
    }

    const core::daemon_id& get_daemon() const { return this->daemon; }
    core::incarnation_number get_incarnation() const
    {
        return this->incarnation;
    }
    std::uint32_t get_attempt() const { return this->attempt; }

    auto operator<=>(const claimant&) const = default;

private:
    core::daemon_id daemon;
    core::incarnation_number incarnation;
    std::uint32_t attempt = 0;
};

/// Asks an owner for the right to run a non-idempotent request.
class claim_request {
public:
    static claim_request make(core::request_id request,
        std::uint64_t fingerprint, std::uint32_t partition,
        core::version_number roster, claimant by)
    {
        claim_request made;
        made.request = std::move(request);
        made.fingerprint = fingerprint;
        made.partition = partition;
        made.roster = roster;
        made.by = std::move(by);
        return made;
    }

    const core::request_id& get_request() const { return this->request; }
    /// Hash of the request's kind and body.
    std::uint64_t get_fingerprint() const { return this->fingerprint; }
    std::uint32_t get_partition() const { return this->partition; }
    /// Version of the roster that the claimant took the owner from.
    core::version_number get_roster() const { return this->roster; }
    const claimant& get_claimant() const { return this->by; }

    auto operator<=>(const claim_request&) const = default;

private:
    core::request_id request;
    std::uint64_t fingerprint = 0;
    std::uint32_t partition = 0;
    core::version_number roster;
    claimant by;
};

} // namespace pollenward::fleet
