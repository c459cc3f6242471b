#pragma once

#include "caller/claim_partition.hpp"
#include "caller/claimant.hpp"
#include "core/ids.hpp"
#include "core/units.hpp"

#include <compare>
#include <cstdint>
#include <utility>

namespace pollenward::caller {

/// The parameters of a claim, as sent to its owners.
class claim_parameters {
public:
    static claim_parameters make(core::request_id id, std::uint64_t fingerprint,
        claimant holder, core::version_number roster_version)
    {
        claim_parameters made;
        made.id = std::move(id);
        made.fingerprint = fingerprint;
        made.holder = std::move(holder);
        made.roster_version = roster_version;
        return made;
    }

    const core::request_id& get_id() const { return this->id; }
    std::uint64_t get_fingerprint() const { return this->fingerprint; }
    const claimant& get_holder() const { return this->holder; }

    core::version_number get_roster_version() const
    {
        return this->roster_version;
    }

    auto operator<=>(const claim_parameters&) const = default;

private:
    core::request_id id;
    std::uint64_t fingerprint = 0;
    claimant holder;
    core::version_number roster_version;
};

} // namespace pollenward::caller
