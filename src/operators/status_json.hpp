#pragma once

#include "operators/fleet_status.hpp"
#include "operators/patch_reply.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace pollenward::operators {

/// {"reporter", "in_force", "daemons", "confirmed", "unconfirmed": [...]}
std::string encode_status(const fleet_status& value);
std::optional<fleet_status> decode_status(std::string_view text);

/// {"result", "number", "faults": [{"step", "peer", "cause"}]}
std::string encode_reply(const patch_reply& value);
std::optional<patch_reply> decode_reply(std::string_view text);

} // namespace pollenward::operators
