#include "upstream/worker_notices.hpp"

#include "upstream/placement_state.hpp"
#include "upstream/worker_pause.hpp"

#include <catch2/catch.hpp>

#include <limits>
#include <string>
#include <vector>

using namespace pollenward;
using namespace pollenward::upstream;

namespace {

const core::service_id service("service");
constexpr core::time_point begin{ core::seconds(1000) };

listed_worker make_listed(const std::string& id,
    std::uint64_t started_at_ms = 1, bool is_leaving = false,
    std::uint64_t sequence = 1)
{
    return listed_worker::make(
        worker::make(core::worker_id(id), core::endpoint(), core::zone_id("z"),
            is_leaving),
        service, core::slot_count(6), core::milliseconds(0), started_at_ms,
        sequence);
}

/// Ids of the workers that may get a request at `now`, in one word.
std::string candidates_at(const placement_state& state, core::time_point now)
{
    std::string ids;
    for (const auto& each : state.candidates(service, {}, now))
    {
        ids += each.get_worker().get_worker().get_id().str();
    }
    return ids;
}

placement_state make_state()
{
    return placement_state(zone_map::make(
        core::zone_id("z"), { { core::zone_id("z"), core::region_id("r") } }));
}

} // namespace

// Guards against requests to a worker that has said that it leaves, while the
// platform's list has it as ready, or not at all for a time.
TEST_CASE(
    "A worker that leaves gets no request whatever the list says", "[upstream]")
{
    auto state = make_state();
    state.store_listed({ make_listed("a"), make_listed("b") });
    CHECK(state.get_notices().record_leaving(make_listed("a")));
    CHECK_FALSE(state.get_notices().record_leaving(make_listed("a")));
    CHECK(candidates_at(state, begin) == "b");
    state.store_listed({ make_listed("b") });
    state.store_listed({ make_listed("a", 1, false, 7), make_listed("b") });
    CHECK(candidates_at(state, begin + core::seconds(3600)) == "b");
    CHECK(state.get_notices().count().leaving == 1);
}

// Guards against capacity that is lost when a worker restarts under its id.
TEST_CASE("A later run of a worker that left gets requests", "[upstream]")
{
    auto state = make_state();
    state.store_listed({ make_listed("a", 5) });
    state.get_notices().record_leaving(make_listed("a", 5));
    CHECK(candidates_at(state, begin).empty());
    state.store_listed({ make_listed("a", 6) });
    CHECK(candidates_at(state, begin) == "a");
    // An older entry that arrives late brings no request to the earlier run.
    state.get_notices().record_leaving(make_listed("a", 6));
    state.store_listed({ make_listed("a", 5) });
    CHECK(candidates_at(state, begin).empty());
}

TEST_CASE("The notice of a worker that is gone is forgotten", "[upstream]")
{
    worker_notices notices;
    notices.record_leaving(make_listed("a"));
    notices.store_listed({}, begin);
    notices.store_listed(
        {}, begin + worker_notices::retention - core::seconds(1));
    CHECK(notices.is_leaving(make_listed("a")));
    notices.store_listed({}, begin + worker_notices::retention);
    CHECK_FALSE(notices.is_leaving(make_listed("a")));
}

TEST_CASE("The notice of a listed worker does not expire", "[upstream]")
{
    worker_notices notices;
    notices.record_leaving(make_listed("a"));
    notices.store_listed({}, begin);
    notices.store_listed({ make_listed("a") }, begin + core::seconds(60));
    notices.store_listed({}, begin + core::seconds(120));
    notices.store_listed({}, begin + worker_notices::retention);
    CHECK(notices.is_leaving(make_listed("a")));
}

// Guards against requests to a worker that has asked for a pause.
TEST_CASE(
    "A worker that pauses gets no request until its time is over", "[upstream]")
{
    auto state = make_state();
    state.store_listed({ make_listed("a"), make_listed("b") });
    auto& notices = state.get_notices();
    notices.record_pause(make_listed("a"), begin + core::milliseconds(2500));
    // A shorter pause that is stated later does not end it.
    notices.record_pause(make_listed("a"), begin + core::milliseconds(500));
    CHECK(candidates_at(state, begin + core::milliseconds(2499)) == "b");
    CHECK(candidates_at(state, begin + core::milliseconds(2500)) == "ab");
    CHECK(notices.count().pauses == 2);
}

TEST_CASE("A later run of a worker is not bound by a pause", "[upstream]")
{
    auto state = make_state();
    state.store_listed({ make_listed("a", 5) });
    state.get_notices().record_pause(
        make_listed("a", 5), begin + core::seconds(60));
    CHECK(candidates_at(state, begin).empty());
    state.store_listed({ make_listed("a", 6) });
    CHECK(candidates_at(state, begin) == "a");
}

// Guards against a Retry-After that is later than the first worker's return.
TEST_CASE("The pause of a service is the shortest of its workers", "[upstream]")
{
    auto state = make_state();
    state.store_listed({ make_listed("a"), make_listed("b"), make_listed("c"),
        make_listed("d", 1, true) });
    auto& notices = state.get_notices();
    notices.record_pause(make_listed("a"), begin + core::seconds(3));
    notices.record_pause(make_listed("b"), begin + core::seconds(2));
    CHECK_FALSE(state.shortest_pause(service, begin));
    notices.record_leaving(make_listed("c"));
    CHECK(state.shortest_pause(service, begin) == core::seconds(2));
    CHECK_FALSE(state.shortest_pause(service, begin + core::seconds(2)));
    CHECK_FALSE(state.shortest_pause(core::service_id("other"), begin));
}

TEST_CASE("A pause is a time of an hour at most", "[upstream]")
{
    CHECK(bounded_pause(1.25) == core::milliseconds(1250));
    CHECK(bounded_pause(0) == core::milliseconds(0));
    CHECK(bounded_pause(1e300) == core::milliseconds(3'600'000));
    CHECK(bounded_pause(std::numeric_limits<double>::infinity())
        == core::milliseconds(3'600'000));
    CHECK_FALSE(bounded_pause(-1));
    CHECK_FALSE(bounded_pause(std::numeric_limits<double>::quiet_NaN()));
}
