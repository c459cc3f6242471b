#pragma once

#include <cstddef>

namespace pollenward::bench {

/// Heap bytes in use by this program, including the allocator's rounding.
std::size_t heap_bytes();

} // namespace pollenward::bench
