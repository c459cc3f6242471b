#include "upstream/dispatch_state.hpp"

#include <catch2/catch.hpp>

using namespace pollenward;
using namespace pollenward::upstream;

// Guards against entries of removed workers that are never erased, and against
// a wrong count of requests in flight when an entry is erased too early.
TEST_CASE("the state of workers that are not listed is erased", "[upstream]")
{
    dispatch_state state;
    const core::time_point now;
    const core::service_id service("service");
    const core::worker_id listed("listed");
    const core::worker_id removed("gone");
    const auto is_draining = [&](const core::worker_id& who) {
        for (const auto& each : state.draining_workers(now))
        {
            if (each == who)
            {
                return true;
            }
        }
        return false;
    };
    const auto hint_of = [&](const core::worker_id& who) {
        const auto standing = usable_worker::make(
            worker::make(who, {}, {}, false), worker_state::active, 1);
        return state.candidates(service, { standing }, now)
            .front()
            .get_hinted_load();
    };
    for (const auto& who : { listed, removed })
    {
        state.start(service, who);
        state.record_load(who, 0.5);
        state.record_drain(who, drain_source::worker_reply, now);
    }
    state.erase_unlisted({ listed });
    CHECK(state.in_flight(removed) == 1);
    CHECK(is_draining(listed));
    CHECK_FALSE(is_draining(removed));

    for (const auto& who : { listed, removed })
    {
        state.finish(service, who, attempt_result::answered,
            core::milliseconds(1), 1, now);
    }
    state.erase_unlisted({ listed });
    CHECK(hint_of(listed) == 0.5);
    CHECK(hint_of(removed) == 0);
}
