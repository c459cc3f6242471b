#include "upstream/shed_limiter.hpp"

#include <catch2/catch.hpp>

using namespace pollenward;
using namespace pollenward::upstream;

namespace {

const core::time_point now(core::seconds(100));
constexpr double safe_share = 2;

shed_limiter with_running(int count)
{
    shed_limiter limiter;
    for (int i = 0; i < count; ++i)
    {
        limiter = limiter.with_start();
    }
    return limiter;
}

} // namespace

// Guards against an overload in which all workers shed until the aggregator of
// the service has the daemons' reports.
TEST_CASE("the first shed bounds the requests of a service", "[upstream]")
{
    const auto shed = with_running(41).with_shed(safe_share, now);
    CHECK(shed.get_in_flight() == 40);
    CHECK(shed.get_limit() == Approx(36.9));
    // Sheds of requests that were sent before the decrease change nothing.
    CHECK(shed.with_shed(safe_share, now).get_limit() == shed.get_limit());
    const auto later
        = shed.with_shed(safe_share, now + core::milliseconds(100));
    CHECK(later.get_limit() < shed.get_limit());
}

// Guards against a rare shed at low load that serializes requests.
TEST_CASE("a shed does not lower the limit below the safe share", "[upstream]")
{
    const auto shed = with_running(1).with_shed(safe_share, now);
    CHECK(shed.get_limit() == safe_share);
    CHECK(with_running(1).with_shed(0, now).get_limit() == 1);
}

// Guards against capacity that stays unused after an overload.
TEST_CASE("requests that are not shed raise the limit again", "[upstream]")
{
    auto limiter = with_running(1).with_shed(safe_share, now);
    for (int i = 0; i < 1000; ++i)
    {
        limiter = limiter.with_start().with_end();
    }
    CHECK(limiter.get_limit() > 10);
    CHECK(limiter.get_in_flight() == 0);
}
