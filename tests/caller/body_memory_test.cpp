#include "caller/body_memory.hpp"

#include <catch2/catch.hpp>

using namespace pollenward;
using namespace pollenward::caller;

// Guards against large bodies that keep out small ones, and against bytes that
// stay reserved in a part that their body has left.
TEST_CASE("large bodies leave memory for small ones", "[caller]")
{
    const auto small = core::memory_budget::make(max_small_body_bytes);
    const auto large = core::memory_budget::make(max_small_body_bytes * 4);
    const auto memory = body_memory::make(small, large);
    body_memory::lease first(memory);
    CHECK(first.resize(max_small_body_bytes));
    CHECK(first.is_small());
    CHECK(memory.is_scarce(true));
    CHECK_FALSE(memory.is_scarce(false));
    // Grows out of the part for small ones.
    CHECK(first.resize(max_small_body_bytes * 4));
    CHECK_FALSE(first.is_small());
    CHECK(small.get_used() == 0);
    CHECK(memory.is_scarce(false));
    body_memory::lease second(memory);
    CHECK_FALSE(second.resize(max_small_body_bytes + 1));
    CHECK(second.resize(1));
    CHECK(second.is_small());
    {
        const auto released = first.release();
        CHECK(large.get_used() == max_small_body_bytes * 4);
    }
    CHECK(large.get_used() == 0);
    // A small body may use the other part when its own is full.
    body_memory::lease third(memory);
    CHECK(third.resize(max_small_body_bytes));
    CHECK_FALSE(third.is_small());
}
