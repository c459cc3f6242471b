#include "fleet/membership.hpp"

#include <catch2/catch.hpp>

using namespace pollenward;
using namespace pollenward::fleet;

// Guards against a daemon that after a pause declares members dead whose
// refutations it could not receive.
TEST_CASE("a pause does not end a suspicion", "[fleet]")
{
    core::error reason;
    const auto make = [&](const char* id, const char* address) {
        return member::make(core::daemon_id(id),
            *core::endpoint::create(address, reason), core::zone_id("z"),
            core::incarnation_number(1));
    };
    membership detector(make("a", "10.0.0.1:1"), {}, 1);
    const core::time_point start{ core::seconds(100) };
    detector.tick(start);
    detector.on_record(
        make("b", "10.0.0.2:1").with_state(member_state::suspect), start);
    detector.tick(start + core::seconds(10));
    CHECK(detector.list().back().get_state() == member_state::suspect);
}
