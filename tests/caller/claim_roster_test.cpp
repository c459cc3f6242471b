#include "caller/claim_roster.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

#include <algorithm>
#include <string>
#include <vector>

using namespace pollenward;
using namespace pollenward::caller;

namespace {

roster_member make_member(int number, int zone_count)
{
    return roster_member::make(
        core::daemon_id("daemon-" + std::to_string(number)),
        core::zone_id("zone-" + std::to_string(number % zone_count)),
        core::incarnation_number(1));
}

bool share_an_owner(const claim_roster& one, const claim_roster& two)
{
    for (std::uint32_t i = 0; i < claim_partition_count; ++i)
    {
        const auto before = one.owners_of(claim_partition(i));
        const auto after = two.owners_of(claim_partition(i));
        const bool is_shared = std::find_first_of(before.begin(), before.end(),
                                   after.begin(), after.end())
            != before.end();
        if (!before.empty() && !after.empty() && !is_shared)
        {
            return false;
        }
    }
    return true;
}

} // namespace

// Guards against a roster change after which no owner of an id has its claim.
TEST_CASE("consecutive rosters share an owner of each partition",
    "[caller][property]")
{
    rc::prop("one owner at least stays", [](std::vector<std::uint8_t> steps) {
        const int zone_count = *rc::gen::inRange(1, 5);
        auto roster = claim_roster::make(core::version_number(1),
            { make_member(0, zone_count), make_member(1, zone_count) }, {});
        for (const std::uint8_t step : steps)
        {
            const auto member = make_member(step % 12, zone_count);
            const bool is_present = roster.find(member.get_id()).has_value();
            const auto next = is_present
                ? roster.without_member(member.get_id())
                : roster.with_member(member);
            RC_ASSERT(share_an_owner(roster, next));
            RC_ASSERT(next.previous()->get_members() == roster.get_members());
            roster = next;
        }
    });
}

TEST_CASE("the owners are in two zones where there are two", "[caller]")
{
    std::vector<roster_member> members;
    for (int i = 0; i < 44; ++i)
    {
        members.push_back(make_member(i, 6));
    }
    const auto roster
        = claim_roster::make(core::version_number(1), members, {});
    for (std::uint32_t i = 0; i < claim_partition_count; ++i)
    {
        const auto owners = roster.owners_of(claim_partition(i));
        REQUIRE(owners.size() == 2);
        CHECK(roster.find(owners[0])->get_zone()
            != roster.find(owners[1])->get_zone());
    }
}

// Guards against a roster that changes by two daemons at once.
TEST_CASE("the roster follows the live daemons one at a time", "[caller]")
{
    const std::vector<roster_member> first{ make_member(0, 2),
        make_member(1, 2) };
    const auto one = next_roster(claim_roster(), first);
    REQUIRE(one);
    CHECK(one->get_members().size() == 2);
    CHECK_FALSE(next_roster(*one, first));
    const std::vector<roster_member> live{ make_member(1, 2), make_member(2, 2),
        make_member(3, 2) };
    const auto two = next_roster(*one, live);
    REQUIRE(two);
    CHECK_FALSE(two->find(core::daemon_id("daemon-0")));
    CHECK(two->get_members().size() == 1);
    const auto three = next_roster(*two, live);
    REQUIRE(three);
    CHECK(three->get_members().size() == 2);
    CHECK(three->get_version() == core::version_number(3));
}
