#pragma once

#include "caller/claim_grant.hpp"
#include "core/units.hpp"

#include <compare>
#include <string_view>

namespace pollenward::caller {

/// An owner's verdict on a claim.
enum class claim_verdict {
    granted,
    /// The id is already claimed; the answer has the state of that claim.
    duplicate,
    /// The owner may lack claims that were granted before it became owner.
    not_ready,
    /// The claim was made for another version of the roster.
    wrong_roster,
    /// The owner receives messages from too few of the roster's members to rule
    /// out that there is a newer roster.
    no_quorum,
    /// The owner did not reply in time.
    no_reply
};

constexpr std::string_view to_string(claim_verdict verdict)
{
    switch (verdict)
    {
    case claim_verdict::granted:
        return "granted";
    case claim_verdict::duplicate:
        return "duplicate";
    case claim_verdict::not_ready:
        return "not ready";
    case claim_verdict::wrong_roster:
        return "wrong roster";
    case claim_verdict::no_quorum:
        return "no quorum";
    case claim_verdict::no_reply:
        break;
    }
    return "no reply";
}

class claim_answer {
public:
    static claim_answer make(claim_verdict verdict, claim_state state,
        core::version_number roster_version)
    {
        claim_answer made;
        made.verdict = verdict;
        made.state = state;
        made.roster_version = roster_version;
        return made;
    }

    claim_verdict get_verdict() const { return this->verdict; }

    /// The state of the earlier claim; for duplicates.
    claim_state get_state() const { return this->state; }

    /// The owner's own roster version.
    core::version_number get_roster_version() const
    {
        return this->roster_version;
    }

    auto operator<=>(const claim_answer&) const = default;

private:
    claim_verdict verdict = claim_verdict::no_reply;
    claim_state state = claim_state::running;
    core::version_number roster_version;
};

} // namespace pollenward::caller
