#include "upstream/worker_subset.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <map>
#include <string>
#include <vector>

using namespace pollenward;
using namespace pollenward::upstream;

namespace {

core::zone_id zone_of(int number, int zones)
{
    return core::zone_id("zone-" + std::to_string(number % zones));
}

std::vector<subset_daemon> make_daemons(int count, int zones)
{
    std::vector<subset_daemon> daemons;
    daemons.reserve(count);
    for (int i = 0; i < count; ++i)
    {
        daemons.push_back(subset_daemon::make(
            core::daemon_id("daemon-" + std::to_string(i)), zone_of(i, zones)));
    }
    return daemons;
}

std::vector<worker> make_workers(int count, int zones)
{
    std::vector<worker> workers;
    workers.reserve(count);
    for (int i = 0; i < count; ++i)
    {
        workers.push_back(
            worker::make(core::worker_id("worker-" + std::to_string(i)), {},
                zone_of(i, zones), false));
    }
    return workers;
}

} // namespace

// Guards against a worker that runs out of connections as the fleet grows, and
// against a daemon left with too few workers.
TEST_CASE("subsets stay within each worker's connections", "[property]")
{
    CHECK(rc::check("connections are bounded", [] {
        const int zones = *rc::gen::inRange(1, 13);
        const auto daemons = make_daemons(*rc::gen::inRange(1, 500), zones);
        const auto workers = make_workers(*rc::gen::inRange(1, 30), zones);
        const int connections = *rc::gen::inRange(100, 401);
        std::map<core::worker_id, int> used;
        std::size_t places = 0;
        for (const auto& each : assign_subsets(daemons, workers, connections))
        {
            places += each.get_workers().size();
            for (const auto& who : each.get_workers())
            {
                used[who] += each.get_connections();
            }
        }
        for (const auto& [who, count] : used)
        {
            RC_ASSERT(10 * count <= 8 * connections);
        }
        RC_ASSERT(places > 0U);
    }));
}

// Guards against daemons without a choice of workers at the size that the fleet
// is planned for, and against workers that few daemons use.
TEST_CASE("at the target size every daemon has workers", "[upstream]")
{
    const auto workers = make_workers(24, 12);
    const auto daemons = make_daemons(470, 12);
    std::map<core::worker_id, int> users;
    for (const auto& each : assign_subsets(daemons, workers, 350))
    {
        CHECK(each.get_workers().size() >= 4);
        for (const auto& who : each.get_workers())
        {
            ++users[who];
        }
    }
    for (const worker& each : workers)
    {
        CHECK(users[each.get_id()] >= 100);
    }
}

// Guards against subsets that are reshuffled when one host is removed: each
// connection that moves must be opened again.
TEST_CASE("the removal of a host moves few subset places", "[property]")
{
    CHECK(rc::check("few places move", [] {
        auto daemons = make_daemons(*rc::gen::inRange(300, 470), 12);
        auto workers = make_workers(24, 12);
        const auto before = assign_subsets(daemons, workers, 350);
        const auto removed = *rc::gen::inRange<std::size_t>(0, daemons.size());
        daemons.erase(daemons.begin() + static_cast<std::ptrdiff_t>(removed));
        const auto after = assign_subsets(daemons, workers, 350);
        std::size_t moved = 0;
        for (std::size_t i = 0; i < after.size(); ++i)
        {
            const auto& old = before[i < removed ? i : i + 1];
            for (const auto& who : after[i].get_workers())
            {
                moved += old.contains(who) ? 0 : 1;
            }
        }
        // Each worker that the daemon used is assigned one other daemon
        // instead, and the reserve may move a few more.
        RC_ASSERT(moved <= 2 * workers.size());
    }));
}
