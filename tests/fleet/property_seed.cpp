#include <cstdlib>

namespace {

// Properties run with a fixed seed unless RC_PARAMS gives another.
[[maybe_unused]] const int is_seed_set
    = ::setenv("RC_PARAMS", "seed=20261204", 0);

} // namespace
