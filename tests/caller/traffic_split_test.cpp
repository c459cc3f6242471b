#include "caller/traffic_split.hpp"

#include <catch2/catch.hpp>

#include <map>
#include <string>

using namespace pollenward;

// Guards against a service of a split that gets more or less than its weight.
TEST_CASE("a split keeps the proportions of its weights", "[caller]")
{
    core::error reason;
    const auto plain = *operators::kind_settings::create(core::kind_id("k"),
        core::service_id("one"), true, core::rank::urgent,
        core::milliseconds(100), core::byte_count(10), reason);
    CHECK(caller::choose_service(plain, "id") == core::service_id("one"));
    const auto split = plain.with_split(
        { operators::service_weight::make(core::service_id("one"), 90),
            operators::service_weight::make(core::service_id("two"), 10),
            operators::service_weight::make(core::service_id("none"), 0) });
    std::map<std::string, int> counts;
    for (int i = 0; i < 10000; ++i)
    {
        ++counts[caller::choose_service(split, "id" + std::to_string(i)).str()];
    }
    CHECK(counts["none"] == 0);
    CHECK(counts["two"] > 900);
    CHECK(counts["two"] < 1100);
}
