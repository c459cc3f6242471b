#include "upstream/worker_placement.hpp"

#include <catch2/catch.hpp>

#include <map>

using namespace pollenward;
using namespace pollenward::upstream;

namespace {

placement_candidate candidate(const char* id, zone_distance distance,
    double loss, double load,
    core::milliseconds unused = core::milliseconds(100))
{
    return placement_candidate::make(
        listed_worker::make(worker::make(core::worker_id(id), core::endpoint(),
                                core::zone_id("z"), false),
            core::service_id("s"), core::slot_count(6), core::milliseconds(0),
            1, 1),
        distance, loss, load, unused);
}

std::map<std::string, int> draw(const placement_candidates& all,
    bool is_repeatable, core::rank rank = core::rank::standard)
{
    std::map<std::string, int> counts;
    for (std::uint64_t random = 0; random < 1000; ++random)
    {
        const auto chosen = choose_placement(all, { is_repeatable, rank, 0.2 },
            {}, random * 0x9e3779b97f4a7c15U);
        ++counts[all[*chosen].get_worker().get_worker().get_id().str()];
    }
    return counts;
}

} // namespace

TEST_CASE("there is no choice without candidates", "[upstream]")
{
    CHECK_FALSE(
        choose_placement({}, { true, core::rank::standard, 0.2 }, {}, 1));
}

// Guards against a request that cannot be repeated and is lost on a suspect
// local worker while another zone has a healthy one.
TEST_CASE(
    "a healthy worker of another zone is preferred to a suspect local one",
    "[upstream]")
{
    const auto counts
        = draw({ candidate("suspect", zone_distance::same_zone, 0.45, 0),
                   candidate("sound", zone_distance::same_region, 0.05, 0),
                   candidate("remote", zone_distance::other_region, 0.02, 0) },
            false);
    CHECK(counts.at("sound") == 1000);
}

// Guards against traffic between regions that costs more than it saves.
TEST_CASE(
    "a local worker without samples is preferred to a remote one", "[upstream]")
{
    const auto counts
        = draw({ candidate("unknown", zone_distance::same_zone, 0.24, 0),
                   candidate("remote", zone_distance::other_region, 0.02, 0) },
            false);
    CHECK(counts.at("unknown") == 1000);
}

// Guards against a queue on one worker while others are idle.
TEST_CASE("a full worker is passed over for an idle one", "[upstream]")
{
    const auto counts
        = draw({ candidate("full", zone_distance::same_zone, 0.05, 9),
                   candidate("idle", zone_distance::same_zone, 0.08, 0) },
            false);
    CHECK(counts.at("idle") == 1000);
}

// Guards against healthy capacity that is never tried again.
TEST_CASE("a worker that was unused for long gets a share of the requests",
    "[upstream]")
{
    const auto counts
        = draw({ candidate("used", zone_distance::same_zone, 0.03, 0),
                   candidate("unused", zone_distance::same_zone, 0.2, 0,
                       core::seconds(5)) },
            false);
    CHECK(counts.at("unused") > 200);
    CHECK(counts.at("unused") < 400);
}

// Guards against requests that cannot be repeated being lost on trials of a
// worker that has just failed.
TEST_CASE("only a request that can be repeated soon tries a worker that failed",
    "[upstream]")
{
    const auto after = [](core::milliseconds unused) {
        return placement_candidates{ candidate("used", zone_distance::same_zone,
                                         0.03, 0),
            candidate("failed", zone_distance::same_zone, 0.5, 0, unused) };
    };
    const core::milliseconds soon(2000);
    CHECK(draw(after(soon), false).count("failed") == 0);
    CHECK(draw(after(soon), true).at("failed") > 200);
    // A worker with a high loss is not tried soon by any request.
    CHECK(
        draw({ candidate("used", zone_distance::same_zone, 0.03, 0),
                 candidate("failed", zone_distance::same_zone, 0.7, 0, soon) },
            true)
            .count("failed")
        == 0);
}

// Guards against urgent requests that are lost on trials of a failed worker
// although less urgent ones could have shown that it recovered.
TEST_CASE("less urgent requests try a failed worker first", "[upstream]")
{
    const placement_candidates all{ candidate("used", zone_distance::same_zone,
                                        0.03, 0),
        candidate("failed", zone_distance::same_zone, 0.7, 0,
            core::milliseconds(2500)) };
    CHECK(draw(all, false, core::rank::urgent).count("failed") == 0);
    const auto counts = draw(all, false, core::rank::standard);
    CHECK(counts.at("failed") > 100);
    CHECK(counts.at("failed") < 200);
}

// Guards against a request of each daemon of a zone that is lost on the same
// worker, since all of them see the same one as the longest unused.
TEST_CASE("trials are spread over the workers that are due", "[upstream]")
{
    const auto counts = draw(
        { candidate("used", zone_distance::same_zone, 0.03, 0),
            candidate("a", zone_distance::same_zone, 0.7, 0, core::seconds(9)),
            candidate("b", zone_distance::same_zone, 0.7, 0, core::seconds(6)),
            candidate(
                "c", zone_distance::same_zone, 0.7, 0, core::seconds(5)) },
        false);
    CHECK(counts.at("a") > 50);
    CHECK(counts.at("b") > 50);
    CHECK(counts.at("c") > 50);
}
