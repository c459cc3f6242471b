#pragma once

namespace pollenward::bench {

/// Prints the sizes of encoded messages and of state in memory.
void print_sizes();

} // namespace pollenward::bench
