#pragma once

#include "caller/claim_roster.hpp"
#include "core/error.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace pollenward::caller {

/// Reads the value of the platform's "claim_roster" object.
std::optional<claim_roster> decode_claim_roster(
    std::string_view text, core::error& reason);

std::string encode_claim_roster(const claim_roster& roster);

} // namespace pollenward::caller
