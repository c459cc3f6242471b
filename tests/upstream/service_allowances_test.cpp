#include "upstream/service_allowances.hpp"

#include <catch2/catch.hpp>

using namespace pollenward;
using namespace pollenward::upstream;

namespace {

const core::service_id service("s");

int sends_at_once(service_allowances& mine)
{
    int sends = 0;
    while (mine.take_send(service))
    {
        ++sends;
    }
    return sends;
}

} // namespace

// Guards against a fleet that spends more than its terms just after a restart
// of all daemons, before any of them knows how many there are.
TEST_CASE("a daemon that does not know the others takes no slack", "[upstream]")
{
    service_allowances mine(
        retry_terms{ 0.1, 200, core::milliseconds(10'000) });
    CHECK(sends_at_once(mine) == 0);
}

// Guards against a part of the slack that stays that of a smaller fleet.
TEST_CASE("the part of the slack follows the number of daemons", "[upstream]")
{
    service_allowances mine(
        retry_terms{ 0.1, 200, core::milliseconds(10'000) });
    mine.set_daemons(10);
    for (int i = 0; i < 1000; ++i)
    {
        mine.count_request(service);
    }
    mine.set_daemons(100);
    CHECK(sends_at_once(mine) == 2);
}
