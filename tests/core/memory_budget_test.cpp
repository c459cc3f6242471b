#include "core/memory_budget.hpp"
#include "core/shared_text.hpp"

#include <catch2/catch.hpp>

#include <optional>
#include <utility>

using namespace pollenward::core;

// Guards against bodies that together exceed the memory of the process, and
// against bytes that stay reserved after their body is gone.
TEST_CASE("leases stay within their budget", "[core]")
{
    const auto budget = memory_budget::make(100);
    auto first = budget.lease();
    CHECK(first.resize(60));
    {
        auto second = budget.lease();
        CHECK(second.resize(40));
        CHECK_FALSE(second.resize(41));
        CHECK(second.size() == 40);
        CHECK_FALSE(first.resize(61));
        CHECK(first.resize(30));
        CHECK(budget.get_used() == 70);
    }
    CHECK(budget.get_used() == 30);
    auto moved = std::move(first);
    CHECK(budget.get_used() == 30);
    CHECK(moved.resize(0));
    CHECK(budget.get_used() == 0);
}

TEST_CASE("a shared text releases its bytes with the last copy", "[core]")
{
    const auto budget = memory_budget::make(100);
    auto reserved = budget.lease();
    REQUIRE(reserved.resize(4));
    std::optional<shared_text> first
        = shared_text::make("body", std::move(reserved));
    auto copy = std::make_optional(*first);
    CHECK(&copy->str() == &first->str());
    CHECK(*copy == shared_text::make("body"));
    CHECK(*copy < shared_text::make("other"));
    first.reset();
    CHECK(budget.get_used() == 4);
    copy.reset();
    CHECK(budget.get_used() == 0);
}
