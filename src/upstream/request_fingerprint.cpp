#include "upstream/request_fingerprint.hpp"

#include <xxhash.h>

namespace pollenward::upstream {

std::uint64_t fingerprint_of(
    const core::kind_id& kind, const request_message& message)
{
    std::uint64_t hash = 0;
    for (const std::string* part : { &kind.str(), &message.get_method(),
             &message.get_target(), &message.get_body() })
    {
        hash = XXH3_64bits_withSeed(part->data(), part->size(), hash);
    }
    return hash;
}

} // namespace pollenward::upstream
