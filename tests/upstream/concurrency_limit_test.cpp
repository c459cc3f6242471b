#include "upstream/concurrency_limit.hpp"
#include "upstream/drain_state.hpp"

#include <catch2/catch.hpp>

using namespace pollenward;
using namespace pollenward::upstream;

// Guards against a daemon that gets less than its share under overload, a share
// that leaves slots idle while requests are on the network, and daemons that
// overload a service when its aggregator is lost.
TEST_CASE(
    "the share is guaranteed under overload until it expires", "[upstream]")
{
    const core::time_point now(core::seconds(100));
    const core::slot_count safe = safe_share(core::slot_count(90), 44);
    const auto limit = [&](bool is_overloaded, core::time_point at) {
        const auto share = fleet_share::make(
            core::slot_count(3), is_overloaded, now + core::seconds(2));
        return service_limit(40, share, safe, at);
    };
    const auto guaranteed
        = fleet_share::make(core::slot_count(3), true, now + core::seconds(2));
    CHECK(service_limit(1, guaranteed, safe, now) == core::slot_count(3));
    CHECK(limit(false, now) == core::slot_count(40));
    CHECK(limit(true, now) == core::slot_count(40));
    CHECK(limit(false, now + core::seconds(2)) == safe);
    CHECK(service_limit(40, std::nullopt, safe, now) == core::slot_count(2));
    CHECK(safe_share(core::slot_count(90), 470) == core::slot_count(1));
}

// Guards against a limit that stays high on a worker that sheds or queues.
TEST_CASE("a limit falls with sheds and slow answers", "[upstream]")
{
    core::time_point now(core::seconds(100));
    auto limit = concurrency_limit::make(core::slot_count(6), 8);
    for (int i = 0; i < 100; ++i)
    {
        limit = limit.with_answer(core::milliseconds(5), 6, now);
    }
    CHECK(limit.get_limit() == 8);
    const auto shed = limit.with_shed(now);
    CHECK(shed.get_limit() < 8);
    CHECK(shed.with_shed(now) == shed);
    for (int i = 0; i < 100; ++i)
    {
        now += core::milliseconds(50);
        limit = limit.with_answer(core::milliseconds(100), 6, now);
    }
    CHECK(limit.get_limit() < 6);
}

// Guards against requests to a leaving worker that only one source reported.
TEST_CASE("any one source marks a worker as leaving", "[upstream]")
{
    const core::time_point now(core::seconds(100));
    CHECK(is_leaving(true, std::nullopt, now));
    CHECK_FALSE(is_leaving(false, drain_state(), now));
    for (const auto source : { drain_source::peer, drain_source::worker_reply })
    {
        const auto reported = drain_state().with_notice(source, now);
        CHECK(is_leaving(false, reported, now));
        CHECK_FALSE(is_leaving(false, reported, now + drain_state::notice_ttl));
    }
    CHECK_FALSE(drain_state()
                    .with_notice(drain_source::peer, now)
                    .is_reported_by_worker(now));
}
