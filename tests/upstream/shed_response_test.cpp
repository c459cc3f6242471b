#include "upstream/shed_response.hpp"

#include <catch2/catch.hpp>

using namespace pollenward;
using namespace pollenward::upstream;

namespace {

const core::time_point now(core::seconds(100));
constexpr double safe_share = 2;

shed_response with_running(int count)
{
    shed_response response;
    for (int i = 0; i < count; ++i)
    {
        response = response.with_start();
    }
    return response;
}

} // namespace

// Guards against a flood that keeps all workers shedding until the home of the
// service has heard of it.
TEST_CASE("the first shed bounds the requests of a service", "[upstream]")
{
    const auto shed = with_running(41).with_shed(safe_share, now);
    CHECK(shed.get_in_flight() == 40);
    CHECK(shed.get_limit() == Approx(36.9));
    // Sheds of requests that were sent before count once.
    CHECK(shed.with_shed(safe_share, now).get_limit() == shed.get_limit());
    const auto later
        = shed.with_shed(safe_share, now + core::milliseconds(100));
    CHECK(later.get_limit() < shed.get_limit());
}

// Guards against a rare shed at low load that makes requests wait for each
// other.
TEST_CASE("a shed leaves the daemon its safe share", "[upstream]")
{
    const auto shed = with_running(1).with_shed(safe_share, now);
    CHECK(shed.get_limit() == safe_share);
    CHECK(with_running(1).with_shed(0, now).get_limit() == 1);
}

// Guards against capacity that stays unused after a flood.
TEST_CASE("requests that are not shed raise the limit again", "[upstream]")
{
    auto response = with_running(1).with_shed(safe_share, now);
    for (int i = 0; i < 1000; ++i)
    {
        response = response.with_start().with_end();
    }
    CHECK(response.get_limit() > 10);
    CHECK(response.get_in_flight() == 0);
}
