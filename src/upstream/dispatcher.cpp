#include "upstream/dispatcher.hpp"

#include <random>

namespace pollenward::upstream {

std::uint64_t random_bits()
{
    thread_local std::mt19937_64 generator(std::random_device{}());
    return generator();
}

} // namespace pollenward::upstream
