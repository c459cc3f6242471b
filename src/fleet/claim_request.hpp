#pragma once

#include "caller/claim_parameters.hpp"

#include <compare>
#include <utility>

namespace pollenward::fleet {

/// Requests an owner's permission to run a non-idempotent request.
class claim_request {
public:
    static claim_request make(caller::claim_parameters question)
    {
        claim_request made;
        made.question = std::move(question);
        return made;
    }

    const caller::claim_parameters& get_question() const
    {
        return this->question;
    }

    auto operator<=>(const claim_request&) const = default;

private:
    caller::claim_parameters question;
};

} // namespace pollenward::fleet
