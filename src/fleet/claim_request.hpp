#pragma once

#include "caller/claim_parameters.hpp"

#include <compare>
#include <utility>

namespace pollenward::fleet {

/// Requests an owner's permission to run a non-idempotent request.
class claim_request {
public:
    static claim_request make(caller::claim_parameters parameters)
    {
        claim_request made;
        made.parameters = std::move(parameters);
        return made;
    }

    const caller::claim_parameters& get_parameters() const
    {
        return this->parameters;
    }

    auto operator<=>(const claim_request&) const = default;

private:
    caller::claim_parameters parameters;
};

} // namespace pollenward::fleet
