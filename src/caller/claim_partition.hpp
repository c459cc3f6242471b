#pragma once

#include "core/ids.hpp"
#include "core/quantity.hpp"

#include <cstdint>

namespace pollenward::caller {

/// Request ids are hashed into partitions. Each partition has its own owners
/// and becomes ready on its own.
using claim_partition
    = core::quantity<struct claim_partition_tag, std::uint32_t>;

inline constexpr std::uint32_t claim_partition_count = 256;

claim_partition partition_of(const core::request_id& id);

} // namespace pollenward::caller
