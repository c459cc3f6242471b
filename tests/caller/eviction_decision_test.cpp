#include "caller/eviction_decision.hpp"

#include <catch2/catch.hpp>

#include <utility>
#include <vector>

using namespace pollenward;
using namespace pollenward::caller;

namespace {

using numbers = std::vector<std::uint64_t>;

const core::time_point begin{ core::seconds(100) };
const auto now = begin + core::seconds(10);

connection_state open(std::uint64_t number, connection_phase phase, int since_s)
{
    return connection_state::make(
        number, phase, begin + core::seconds(since_s));
}

} // namespace

// Guards against callers that hold memory with requests that never end, and
// against the loss of a request that runs.
TEST_CASE(
    "the request that has been incomplete for longest is given up", "[caller]")
{
    using enum connection_phase;
    const std::vector<connection_state> all
        = { open(1, running, 0), open(2, idle, 0), open(3, reading_header, 1),
              open(4, reading_small_body, 3), open(5, reading_small_body, 2),
              open(6, reading_large_body, 5), open(7, reading_large_body, 4) };
    const auto chosen = [&](scarce_resource scarce, std::uint64_t own) {
        return choose_evictions(all, scarce, own, now, min_reading_time, 1);
    };
    CHECK(chosen(scarce_resource::small_bodies, 0) == numbers{ 5 });
    CHECK(chosen(scarce_resource::small_bodies, 5) == numbers{ 4 });
    CHECK(chosen(scarce_resource::large_bodies, 0) == numbers{ 7 });
    CHECK(chosen(scarce_resource::connections, 0) == numbers{ 3 });
    CHECK(chosen(scarce_resource::connections, 3) == numbers{ 5 });
}

// Guards against the refusal of callers that send their requests at once.
TEST_CASE("a request that was just begun is not given up", "[caller]")
{
    using enum connection_phase;
    const std::vector<connection_state> all = { open(1, reading_header, 10),
        open(2, reading_large_body, 10), open(3, idle, 8), open(4, idle, 7),
        open(6, idle, 10), open(5, running, 0) };
    const auto chosen = [&](scarce_resource scarce, core::duration min_time) {
        return choose_evictions(all, scarce, 0, now, min_time, 3);
    };
    CHECK(chosen(scarce_resource::large_bodies, min_reading_time).empty());
    CHECK(chosen(scarce_resource::small_bodies, min_reading_time).empty());
    CHECK(chosen(scarce_resource::connections, min_reading_time)
        == numbers{ 4, 3 });
    // Requests that are being read go before idle connections, and a request
    // may be on its way on one that was just opened.
    CHECK(chosen(scarce_resource::connections, core::duration())
        == numbers{ 1, 2, 4 });
}

// Guards against connections that free nothing when they are chosen, while
// others could.
TEST_CASE("connections that end go before those that are read", "[caller]")
{
    using enum connection_phase;
    const auto chosen = [](std::vector<connection_state> all) {
        return choose_evictions(std::move(all), scarce_resource::connections, 0,
            now, core::duration(), 3);
    };
    CHECK(chosen({ open(1, reading_header, 0), open(2, lingering, 9),
              open(3, lingering, 8), open(4, lingering, 10) })
        == numbers{ 3, 2, 1 });
    // The first was chosen just now, the second had time to end.
    CHECK(
        chosen({ open(1, leaving, 10), open(2, leaving, 9) }) == numbers{ 2 });
}
