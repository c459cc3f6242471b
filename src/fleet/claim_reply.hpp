#pragma once

#include "caller/claim_grant.hpp"
#include "core/units.hpp"

#include <compare>

namespace pollenward::fleet {

/// What an owner says to a claim.
enum class claim_answer {
    granted,
    /// The id was claimed before.
    duplicate,
    /// The owner has not yet copied the claims of the partition.
    not_ready,
    /// Owner and claimant hold different versions of the roster.
    wrong_roster,
    /// The owner is out of contact with half of the roster.
    no_quorum
};

/// The reply to a claim.
class claim_reply {
public:
    /// `duplicate_state` is the state of the earlier claim and has no meaning
    /// unless the answer is `duplicate`. `roster` is the owner's version.
    static claim_reply make(claim_answer answer,
        caller::claim_state duplicate_state, core::version_number roster)
    {
        claim_reply made;
        made.answer = answer;
        made.duplicate_state = duplicate_state;
        made.roster = roster;
        return made;
    }

    claim_answer get_answer() const { return this->answer; }
    caller::claim_state get_duplicate_state() const
    {
        return this->duplicate_state;
    }
    core::version_number get_roster() const { return this->roster; }

    auto operator<=>(const claim_reply&) const = default;

private:
    claim_answer answer = claim_answer::not_ready;
    caller::claim_state duplicate_state = caller::claim_state::running;
    core::version_number roster;
};

} // namespace pollenward::fleet
