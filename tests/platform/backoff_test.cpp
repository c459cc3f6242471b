#include "platform/backoff.hpp"

#include <catch2/catch.hpp>

#include <set>

using namespace pollenward;
using platform::backoff;

// Guards against a ceiling that overflows after many failures and against
// polling the store more often than agreed during an outage.
TEST_CASE("delays stay within a ceiling of 100 ms to 10 s", "[platform]")
{
    for (std::uint64_t seed = 0; seed < 50; ++seed)
    {
        auto state = backoff::make(seed);
        CHECK(state.get_delay() == core::milliseconds::zero());
        core::milliseconds ceiling{ 100 };
        for (int failure = 1; failure < 100; ++failure)
        {
            state = state.after_failure();
            REQUIRE(state.get_ceiling() == ceiling);
            REQUIRE(state.get_delay() >= core::milliseconds(1));
            REQUIRE(state.get_delay() <= ceiling);
            ceiling = std::min(ceiling * 2, core::milliseconds(10000));
        }
        CHECK(state.after_success().get_failures() == 0);
    }
}

// Guards against daemons that all retry at the same moment.
TEST_CASE("different seeds give different delays", "[platform]")
{
    std::set<std::int64_t> delays;
    for (std::uint64_t seed = 0; seed < 100; ++seed)
    {
        auto state = backoff::make(seed);
        for (int i = 0; i < 8; ++i)
        {
            state = state.after_failure();
        }
        delays.insert(state.get_delay().count());
    }
    CHECK(delays.size() > 90);
}
