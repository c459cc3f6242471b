#pragma once

#include "upstream/forward_request.hpp"

#include <cstdint>

namespace pollenward::upstream {

/// Hash of the kind and the content of a request; identifies the same request
/// under another id.
std::uint64_t fingerprint_of(
    const core::kind_id& kind, const request_message& message);

} // namespace pollenward::upstream
