#pragma once

#include "core/ids.hpp"
#include "core/quantity.hpp"

#include <cstdint>

namespace pollenward::caller {

/// Request ids are hashed into partitions; the owners of claims are chosen and
/// become ready by partition.
using claim_partition
    = core::quantity<struct claim_partition_tag, std::uint32_t>;

inline constexpr std::uint32_t claim_partition_count = 256;

claim_partition partition_of(const core::request_id& id);

} // namespace pollenward::caller
