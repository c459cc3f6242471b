#include "upstream/ejection_policy.hpp"

#include <catch2/catch.hpp>

#include <functional>
#include <string>

using namespace pollenward;
using namespace pollenward::upstream;

namespace {

const core::time_point start{ core::seconds(1000) };
constexpr int zone_count = 4;
constexpr int worker_count = 8;

std::string zone_name(int zone)
{
    return "zone-" + std::to_string(zone);
}

core::worker_id worker_name(int worker)
{
    return core::worker_id("w" + std::to_string(worker));
}

/// Two workers in each zone.
std::vector<worker> all_workers()
{
    std::vector<worker> workers;
    workers.reserve(worker_count);
    for (int i = 0; i < worker_count; ++i)
    {
        workers.push_back(worker::make(worker_name(i), {},
            core::zone_id(zone_name(i % zone_count)), false));
    }
    return workers;
}

using is_failing = std::function<bool(int zone, int worker)>;

/// Each zone has recently sent twenty requests to each worker.
ejection_input make_input(
    const is_failing& failing, double floor = 0.5, int unknown = 0)
{
    std::vector<source_evidence> sources;
    for (int zone = 0; zone < zone_count; ++zone)
    {
        source_evidence::counts_by_worker counts;
        for (int i = 0; i < worker_count; ++i)
        {
            counts[worker_name(i)] = failing(zone, i)
                ? evidence_counts::make(0, 20, 20, 20)
                : evidence_counts::make(20, 0, 40, 0);
        }
        sources.push_back(source_evidence::make(
            zone_name(zone), core::zone_id(zone_name(zone)), counts));
    }
    return ejection_input::make(all_workers(), {}, floor, sources, unknown, {});
}

std::vector<std::string> ejected_ids(
    const std::vector<ejection_record>& records)
{
    std::vector<std::string> ids;
    for (const auto& each : records)
    {
        if (each.get_state() == worker_state::ejected)
        {
            ids.push_back(each.get_worker().str());
        }
    }
    return ids;
}

std::vector<std::string> decide(const ejection_input& input)
{
    return ejected_ids(decide_ejections(input, {}, start));
}

using ids = std::vector<std::string>;

} // namespace

TEST_CASE("a worker that fails everywhere is ejected", "[ejection]")
{
    const auto failing = [](int, int worker) { return worker == 3; };
    CHECK(decide(make_input(failing)) == ids{ "w3" });
}

// Guards against ejections for faults of a path between some zones and one
// worker. Fails without trimmed_sum() and fails_in_most_zones().
TEST_CASE("failures seen from half of the zones eject nothing", "[ejection]")
{
    const auto failing = [](int zone, int worker) {
        return zone < zone_count / 2 && worker == 3;
    };
    CHECK(decide(make_input(failing)).empty());
}

// Guards against the ejection of a worker that half of the zones cannot reach
// because of one failure elsewhere. Fails without trimmed_sum().
TEST_CASE("one more failure does not confirm a path fault", "[ejection]")
{
    const auto with_one_failure = [](int zone, int unknown) {
        auto sources = make_input([zone](int from, int worker) {
            return from < zone && worker == 3;
        }).get_sources();
        auto counts = sources[zone].get_counts();
        counts[worker_name(3)] = evidence_counts::make(4, 1, 8, 1);
        sources[zone] = source_evidence::make(
            sources[zone].get_source(), sources[zone].get_zone(), counts);
        return decide(
            ejection_input::make(all_workers(), {}, 0.5, sources, unknown, {}));
    };
    CHECK(with_one_failure(2, 0).empty());
    // Three of six zones see failures, and two are unknown.
    CHECK(with_one_failure(3, 2).empty());
    CHECK(with_one_failure(3, 0) == ids{ "w3" });
}

// Guards against ejections because of a source without network, whose requests
// fail on all workers. Fails without without_faulty_sources().
TEST_CASE("a source that fails with most workers is excluded", "[ejection]")
{
    std::vector<source_evidence> daemons;
    for (int daemon = 0; daemon < 3; ++daemon)
    {
        // Daemon 0 fails with all workers, the others with one.
        const auto counts = make_input(
            [daemon](int, int worker) { return daemon == 0 || worker == 3; })
                                .get_sources()[0]
                                .get_counts();
        daemons.push_back(source_evidence::make(
            std::to_string(daemon), core::zone_id(zone_name(0)), counts));
    }
    CHECK(decide(ejection_input::make(all_workers(), {}, 0.5, daemons, 0, {}))
        == ids{ "w3" });
}

// Guards against ejections while a whole zone is cut off from most others.
// Fails without find_unreachable_zones() and without_faulty_zone_paths().
TEST_CASE("all workers of a zone at once are not ejected", "[ejection]")
{
    const auto from_others = [](int zone, int worker) {
        return zone != 2 && worker % zone_count == 2;
    };
    CHECK(decide(make_input(from_others)).empty());
    const auto from_all
        = [](int, int worker) { return worker % zone_count == 2; };
    CHECK(decide(make_input(from_all)).empty());
}

// Guards against ejecting all workers for a fault of a dependency that they
// share. Fails without has_shared_cause().
TEST_CASE("half of the workers at once are not ejected", "[ejection]")
{
    const auto failing = [](int, int worker) { return worker < 4; };
    CHECK(decide(make_input(failing)).empty());
}

// Guards against ejections below the floor. Fails without the check in
// eject().
TEST_CASE("ejections stop at the floor", "[ejection]")
{
    const auto failing = [](int, int worker) { return worker < 3; };
    CHECK(decide(make_input(failing, 0.6)).size() == 3);
    CHECK(decide(make_input(failing, 0.8)).size() == 1);
    CHECK(decide(make_input(failing, 1)).empty());
}

// Guards against ejections by a zone that is cut off from the others.
TEST_CASE("one zone alone ejects only if there is no other", "[ejection]")
{
    const auto full = make_input([](int, int worker) { return worker == 3; });
    const std::vector<source_evidence> own{ full.get_sources()[0] };
    const auto with_unknown = [&](int unknown) {
        return decide(
            ejection_input::make(all_workers(), {}, 0.5, own, unknown, {}));
    };
    CHECK(with_unknown(0) == ids{ "w3" });
    CHECK(with_unknown(3).empty());
}

// Guards against a few zones that decide while the others have no usable
// report. Fails if trimmed_sum() ignores unknown zones.
TEST_CASE("unknown zones count against an ejection", "[ejection]")
{
    const auto failing = [](int, int worker) { return worker == 3; };
    CHECK(decide(make_input(failing, 0.5, 3)) == ids{ "w3" });
    CHECK(decide(make_input(failing, 0.5, 4)).empty());
}

// Guards against aggregators that never agree, because a zone that has ejected
// a worker sends it no requests and so has no evidence.
TEST_CASE(
    "two failing zones confirm another aggregator's ejection", "[ejection]")
{
    const auto full = make_input(
        [](int zone, int worker) { return zone < 2 && worker == 3; });
    const auto confirmed = ejection_input::make(all_workers(), {}, 0.5,
        full.get_sources(), 0, { worker_name(3), worker_name(5) });
    CHECK(decide(confirmed) == ids{ "w3" });
}

// Guards against a return at full load, a trial that counts failures from
// before the ejection, and a failed trial without a longer ejection.
TEST_CASE("a worker returns by a trial that can fail", "[ejection]")
{
    const auto bad = make_input([](int, int worker) { return worker == 3; });
    auto records = decide_ejections(bad, {}, start);
    const auto returned = start + core::seconds(5);
    records = decide_ejections(bad, records, returned);
    REQUIRE(records.size() == 1);
    CHECK(records[0].get_state() == worker_state::trial);
    CHECK(records[0].get_weight() == first_trial_weight);

    // The same failures again: no new ones since the return.
    CHECK(ejected_ids(decide_ejections(bad, records, returned)).empty());
    const auto later = returned + core::seconds(2);
    const auto good = make_input([](int, int) { return false; });
    const auto stepped = decide_ejections(good, records, later);
    CHECK(stepped[0].get_weight() == 0.25);
    // Fails if fails_in_most_zones() ignores unknown zones.
    const auto uncertain
        = make_input([](int, int worker) { return worker == 3; }, 0.5, 4);
    CHECK(ejected_ids(decide_ejections(uncertain, records, later)).empty());
    const auto failed = decide_ejections(bad, records, later);
    CHECK(failed[0].get_state() == worker_state::ejected);
    CHECK(failed[0].get_ejection_end() == later + core::seconds(10));
}
