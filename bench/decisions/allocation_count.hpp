#pragma once

#include <cstddef>

namespace pollenward::bench {

/// Bytes of heap in use by this program, with the allocator's rounding.
std::size_t heap_bytes();

} // namespace pollenward::bench
