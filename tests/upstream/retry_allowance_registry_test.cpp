#include "upstream/retry_allowance_registry.hpp"

#include <catch2/catch.hpp>

using namespace pollenward;
using namespace pollenward::upstream;

namespace {

const core::service_id service("s");

int sends_at_once(retry_allowance_registry& allowances)
{
    int sends = 0;
    while (allowances.try_acquire_send(service))
    {
        ++sends;
    }
    return sends;
}

} // namespace

// Guards against a fleet that exceeds its limits just after a restart of all
// daemons, before any of them has the number of daemons.
TEST_CASE("a daemon without a list of the others uses no slack", "[upstream]")
{
    retry_allowance_registry allowances(
        retry_limits{ 0.1, 200, core::milliseconds(10'000) });
    CHECK(sends_at_once(allowances) == 0);
}

// Guards against a part of the slack that is not reduced when the fleet grows.
TEST_CASE("the part of the slack follows the number of daemons", "[upstream]")
{
    retry_allowance_registry allowances(
        retry_limits{ 0.1, 200, core::milliseconds(10'000) });
    allowances.set_daemons(10);
    for (int i = 0; i < 1000; ++i)
    {
        allowances.count_request(service);
    }
    allowances.set_daemons(100);
    CHECK(sends_at_once(allowances) == 2);
}
