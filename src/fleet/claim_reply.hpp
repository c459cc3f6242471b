#pragma once

#include "caller/claim_answer.hpp"

#include <compare>

namespace pollenward::fleet {

/// The reply to a claim.
class claim_reply {
public:
    static claim_reply make(const caller::claim_answer& answer)
    {
        claim_reply made;
        made.answer = answer;
        return made;
    }

    const caller::claim_answer& get_answer() const { return this->answer; }

    auto operator<=>(const claim_reply&) const = default;

private:
    caller::claim_answer answer;
};

} // namespace pollenward::fleet
