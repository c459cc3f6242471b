#pragma once

#include "core/quantity.hpp"

#include <cstdint>

namespace pollenward::core {

/// Requests that a worker runs at the same time.
using slot_count = quantity<struct slot_tag, std::int64_t>;
/// Number of a configuration or of another versioned document; never decreases.
using version_number = quantity<struct version_tag, std::uint64_t>;
/// Start time of a daemon in milliseconds since 1970; a restart raises it.
using incarnation_number = quantity<struct incarnation_tag, std::uint64_t>;
using byte_count = quantity<struct byte_tag, std::uint64_t>;

} // namespace pollenward::core
