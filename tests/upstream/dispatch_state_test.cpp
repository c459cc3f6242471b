#include "upstream/dispatch_state.hpp"

#include <catch2/catch.hpp>

using namespace pollenward;
using namespace pollenward::upstream;

// Guards against entries of departed workers that stay for ever, and against
// a count of requests in flight that goes wrong when one is dropped too early.
TEST_CASE("workers that are not listed are forgotten", "[upstream]")
{
    dispatch_state state;
    const core::time_point now;
    const core::service_id service("service");
    const core::worker_id listed("listed");
    const core::worker_id gone("gone");
    const auto is_known = [&](const core::worker_id& who) {
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
    for (const auto& who : { listed, gone })
    {
        state.start(service, who);
        state.record_load(who, 0.5);
        state.record_drain(who, drain_source::worker_reply, now);
    }
    state.forget_except({ listed });
    CHECK(state.in_flight(gone) == 1);
    CHECK(is_known(listed));
    CHECK_FALSE(is_known(gone));

    for (const auto& who : { listed, gone })
    {
        state.finish(service, who, attempt_result::answered,
            core::milliseconds(1), 1, now);
    }
    state.forget_except({ listed });
    CHECK(hint_of(listed) == 0.5);
    CHECK(hint_of(gone) == 0);
}
