#pragma once

namespace pollenward::bench {

/// Prints the sizes of encoded messages and of the state kept in memory.
void print_sizes();

} // namespace pollenward::bench
