#include "core/rendezvous.hpp"

#include <xxhash.h>

namespace pollenward::core {

std::uint64_t rendezvous_score(std::string_view key, std::string_view node)
{
    const std::uint64_t seed = XXH3_64bits(key.data(), key.size());
    return XXH3_64bits_withSeed(node.data(), node.size(), seed);
}

} // namespace pollenward::core
