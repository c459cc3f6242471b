#include "fleet/aggregator_selection.hpp"

#include <catch2/catch.hpp>

#include <set>

using namespace pollenward;
using namespace pollenward::fleet;

namespace {

member daemon_with(const std::string& name, std::uint64_t capacity)
{
    return member::make(core::daemon_id(name), core::endpoint(),
        core::zone_id("z"), core::incarnation_number(1))
        .with_capacity(capacity);
}

} // namespace

// Guards against a host with a slow link that sends to all daemons of its zone
// although others could carry that.
TEST_CASE("daemons with the most capacity serve their zone", "[fleet]")
{
    const std::vector<member> members
        = { daemon_with("a", 10), daemon_with("b", 200), daemon_with("c", 10),
              daemon_with("d", 200), daemon_with("e", 10) };
    const core::zone_id zone("z");
    const auto top = select_zone_aggregators(zone, members, 3);
    REQUIRE(top.size() == 3);
    CHECK(top[0].get_capacity() == 200);
    CHECK(top[1].get_capacity() == 200);
    CHECK(top[2].get_capacity() == 10);
    CHECK(select_zone_aggregators(zone, members, 9).size() == 5);
    CHECK(select_zone_aggregators(zone, {}, 2).empty());
    // The order of the list, which differs between daemons, does not matter.
    const std::vector<member> reversed(members.rbegin(), members.rend());
    CHECK(select_zone_aggregators(zone, reversed, 3) == top);
}

// Guards against all zones of equal hosts relying on the same position.
TEST_CASE("equal daemons are selected by rendezvous score", "[fleet]")
{
    std::vector<member> members;
    for (int i = 0; i < 8; ++i)
    {
        members.push_back(daemon_with("daemon-" + std::to_string(i), 0));
    }
    std::set<core::daemon_id> selected;
    for (int zone = 0; zone < 20; ++zone)
    {
        selected.insert(select_zone_aggregators(
            core::zone_id("zone-" + std::to_string(zone)), members, 1)
                            .front()
                            .get_id());
    }
    CHECK(selected.size() > 3);
}
