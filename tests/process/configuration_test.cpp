#include "process/cluster.hpp"
#include "process/eventually.hpp"
#include "process/patch_call.hpp"

#include <catch2/catch.hpp>

#include <chrono>
#include <filesystem>
#include <fstream>
#include <string>
#include <thread>

using namespace pollenward::test;

namespace {

bool is_in_force_everywhere(
    const cluster& system, int daemons, std::uint64_t number)
{
    for (int i = 0; i < daemons; ++i)
    {
        if (system.version_in_force(i) != number)
        {
            return false;
        }
    }
    return true;
}

} // namespace

// Guards against a version that does not reach every daemon. The target is 6 s.
TEST_CASE("an accepted patch is in force on all daemons within 6 s")
{
    cluster system({ 4, 1, "{}" });
    REQUIRE(system.start());
    const auto reply = send_patch(system, 0, 1, "p1", 0.25);
    REQUIRE(reply);
    CHECK(reply->status == 200);
    CHECK(eventually([&] { return is_in_force_everywhere(system, 4, 2); },
        std::chrono::seconds(6)));
}

// Guards against accepting two patches made against the same version number.
TEST_CASE("of two patches against the same version one is refused as stale")
{
    cluster system({ 2, 1, "{}" });
    REQUIRE(system.start());
    std::optional<http_reply> one;
    std::optional<http_reply> two;
    {
        std::jthread first([&] { one = send_patch(system, 0, 1, "a", 0.3); });
        std::jthread second([&] { two = send_patch(system, 1, 1, "b", 0.4); });
    }
    REQUIRE(one);
    REQUIRE(two);
    const int accepted
        = (one->status == 200 ? 1 : 0) + (two->status == 200 ? 1 : 0);
    CHECK(accepted == 1);
    CHECK(eventually([&] { return is_in_force_everywhere(system, 2, 2); }));
}

// Guards against a patch that is applied twice or reported as failed because
// the response to its write was lost.
TEST_CASE("a patch whose write response is lost is applied once")
{
    cluster system({ 2, 1, "{}" });
    REQUIRE(system.start());
    system.set_platform_faults(R"({"lose_responses": 1})");
    const auto reply = send_patch(system, 0, 1, "lost", 0.3);
    REQUIRE(reply);
    CHECK(reply->status == 200);
    CHECK(eventually([&] { return is_in_force_everywhere(system, 2, 2); }));
    const auto again = send_patch(system, 1, 1, "lost", 0.3);
    REQUIRE(again);
    CHECK(again->status == 200);
    CHECK(system.version_in_force(1) == 2);
}

// Guards against daemons that return to an older version when the store is
// restored from an older state.
TEST_CASE("a store restored from an older state does not revert a version")
{
    cluster system({ 2, 1, "{}" });
    REQUIRE(system.start());
    system.set_platform_faults(R"({"snapshot": true})");
    REQUIRE(send_patch(system, 0, 1, "p1", 0.3)->status == 200);
    REQUIRE(eventually([&] { return is_in_force_everywhere(system, 2, 2); }));
    system.set_platform_faults(R"({"restore": true})");
    // The watching daemons write the accepted version back to the store.
    CHECK(eventually([&] {
        const auto reply = http_call(
            system.platform_port(), "GET", "/v1/objects/configuration");
        return reply
            && reply->body.find("\\\"number\\\":2") != std::string::npos;
    }));
    CHECK(is_in_force_everywhere(system, 2, 2));
    const auto stale = send_patch(system, 0, 1, "p2", 0.4);
    REQUIRE(stale);
    CHECK(stale->status != 200);
    CHECK(send_patch(system, 0, 2, "p3", 0.4)->status == 200);
    CHECK(eventually([&] { return is_in_force_everywhere(system, 2, 3); }));
}
