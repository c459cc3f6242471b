#include "caller/claim_partition.hpp"

#include <xxhash.h>

namespace pollenward::caller {

claim_partition partition_of(const core::request_id& id)
{
    const auto hash = XXH3_64bits(id.str().data(), id.str().size());
    return claim_partition(
        static_cast<std::uint32_t>(hash % claim_partition_count));
}

} // namespace pollenward::caller
