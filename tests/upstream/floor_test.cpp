#include "upstream/floor.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <cstdlib>
#include <set>
#include <string>

using namespace pollenward;
using namespace pollenward::upstream;

namespace {

// RapidCheck reads its seed at the first check; RC_PARAMS is kept if set.
const int fixed_seed = setenv("RC_PARAMS", "seed=1", 0);

const core::time_point start{ core::seconds(1000) };

core::worker_id any_id()
{
    return core::worker_id("w" + std::to_string(*rc::gen::inRange(0, 12)));
}

std::vector<core::worker_id> any_ids()
{
    std::vector<core::worker_id> ids;
    for (int i = *rc::gen::inRange(0, 6); i > 0; --i)
    {
        ids.push_back(any_id());
    }
    return ids;
}

received_verdict any_verdict()
{
    const auto state = *rc::gen::element(
        worker_state::active, worker_state::ejected, worker_state::trial);
    const double weight = *rc::gen::element(0.0, 1.0 / 16, 0.25, 0.5, 1.0);
    return received_verdict::make(
        verdict::make(any_id(), state, weight,
            core::seconds(*rc::gen::inRange(0, 300)), *rc::gen::inRange(0, 9)),
        start - core::seconds(*rc::gen::inRange(0, 30)));
}

std::vector<worker> any_workers()
{
    std::vector<worker> workers;
    for (int i = *rc::gen::inRange(0, 14); i > 0; --i)
    {
        workers.push_back(worker::make(
            any_id(), {}, core::zone_id("z"), *rc::gen::inRange(0, 5) == 0));
    }
    return workers;
}

/// The required capacity, computed independently of the code under test:
/// min(floor of all listed, all live).
double expected_capacity(const std::vector<worker>& workers,
    const std::vector<core::worker_id>& draining, double floor)
{
    std::set<core::worker_id> listed;
    std::set<core::worker_id> not_live(draining.begin(), draining.end());
    for (const worker& each : workers)
    {
        listed.insert(each.get_id());
        if (each.is_leaving())
        {
            not_live.insert(each.get_id());
        }
    }
    const auto live = std::count_if(listed.begin(), listed.end(),
        [&](const auto& id) { return !not_live.contains(id); });
    return std::min(
        floor * static_cast<double>(listed.size()), static_cast<double>(live));
}

} // namespace

// Guards against capacity below the floor for any mix of stale lists, drains,
// late or contradictory verdicts (of two aggregators) and avoided paths. Fails
// without restore_capacity().
TEST_CASE("ejections leave the floor in service", "[floor][property]")
{
    const bool holds = rc::check([] {
        const auto workers = any_workers();
        const auto draining = any_ids();
        const double floor = *rc::gen::inRange(0, 101) / 100.0;
        std::vector<received_verdict> verdicts;
        for (int i = *rc::gen::inRange(0, 30); i > 0; --i)
        {
            verdicts.push_back(any_verdict());
        }
        const auto usable = usable_workers(
            workers, verdicts, draining, any_ids(), floor, start);
        double capacity = 0;
        std::set<core::worker_id> seen;
        for (const auto& each : usable)
        {
            const auto& id = each.get_worker().get_id();
            RC_ASSERT(each.get_weight() > 0 && each.get_weight() <= 1);
            RC_ASSERT(!each.get_worker().is_leaving());
            RC_ASSERT(std::count(draining.begin(), draining.end(), id) == 0);
            RC_ASSERT(seen.insert(id).second);
            capacity += each.get_weight();
        }
        RC_ASSERT(
            capacity >= expected_capacity(workers, draining, floor) - 1e-6);
    });
    CHECK(holds);
}

// Guards against cancelling the most severe ejection first, and against a
// result that depends on the order of inputs.
TEST_CASE("the least severe ejection is cancelled first", "[floor]")
{
    std::vector<worker> workers;
    std::vector<received_verdict> verdicts;
    for (int i = 0; i < 4; ++i)
    {
        const core::worker_id id("w" + std::to_string(i));
        workers.push_back(worker::make(id, {}, core::zone_id("z"), false));
        verdicts.push_back(
            received_verdict::make(verdict::make(id, worker_state::ejected, 0,
                                       core::seconds(5), 4 - i),
                start));
    }
    const auto usable = usable_workers(workers, verdicts, {}, {}, 0.5, start);
    REQUIRE(usable.size() == 2);
    CHECK(usable[0].get_worker().get_id().str() == "w2");
    CHECK(usable[1].get_worker().get_id().str() == "w3");
    std::reverse(workers.begin(), workers.end());
    std::reverse(verdicts.begin(), verdicts.end());
    CHECK(usable_workers(workers, verdicts, {}, {}, 0.5, start) == usable);
}

// Guards against full load on a worker whose ejection expired while its
// aggregator was lost, and against a permanent ejection.
TEST_CASE("an ejection without an aggregator ends with a trial", "[floor]")
{
    const auto held = received_verdict::make(
        verdict::make(core::worker_id("w"), worker_state::ejected, 0,
            core::seconds(5), 1),
        start);
    CHECK(
        held.at(start + core::seconds(4)).get_state() == worker_state::ejected);
    CHECK(held.at(start + core::seconds(5)).get_weight() == first_trial_weight);
    CHECK(
        held.at(start + core::seconds(15)).get_state() == worker_state::active);
}
