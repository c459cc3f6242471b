#include "upstream/worker_choice.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <random>
#include <string>
#include <vector>

using namespace pollenward;
using namespace pollenward::upstream;

namespace {

worker_candidate make_candidate(int number, worker_state state, double weight,
    bool is_leaving, int in_flight)
{
    const auto who
        = worker::make(core::worker_id("worker-" + std::to_string(number)), {},
            core::zone_id("zone"), is_leaving);
    return worker_candidate::make(
        usable_worker::make(who, state, weight), in_flight, 6, 0);
}

} // namespace

// Guards against requests to a worker that must not get them, and against a
// policy that finds no worker where the naive one finds one.
TEST_CASE("both policies choose only eligible workers", "[property]")
{
    CHECK(rc::check("policies agree on whether a worker is eligible", [] {
        worker_candidates all;
        std::vector<core::worker_id> tried;
        const int count = *rc::gen::inRange(0, 8);
        for (int i = 0; i < count; ++i)
        {
            const auto state
                = *rc::gen::element(worker_state::active, worker_state::trial);
            all.push_back(make_candidate(i, state,
                state == worker_state::trial ? 0.25 : 1,
                *rc::gen::inRange(0, 4) == 0, *rc::gen::inRange(0, 8)));
            if (*rc::gen::inRange(0, 4) == 0)
            {
                tried.push_back(
                    all.back().get_standing().get_worker().get_id());
            }
        }
        const bool is_idempotent = *rc::gen::arbitrary<bool>();
        const auto random = *rc::gen::arbitrary<std::uint64_t>();
        least_loaded_of_two tested;
        round_robin naive;
        const auto chosen
            = choose_worker(tested, all, tried, is_idempotent, random);
        const auto expected
            = choose_worker(naive, all, tried, is_idempotent, random);
        RC_ASSERT(chosen.has_value() == expected.has_value());
        if (!chosen)
        {
            return;
        }
        RC_ASSERT(!chosen->is_leaving());
        RC_ASSERT(std::find(tried.begin(), tried.end(), chosen->get_id())
            == tried.end());
        for (const auto& each : all)
        {
            const bool is_chosen
                = each.get_standing().get_worker().get_id() == chosen->get_id();
            RC_ASSERT(!is_chosen || is_idempotent
                || each.get_standing().get_state() == worker_state::active);
        }
    }));
}

// Guards against a worker on trial that gets no requests, so that its trial
// never ends, or as many as the others.
TEST_CASE(
    "a worker on trial gets requests in proportion to its weight", "[upstream]")
{
    worker_candidates all{ make_candidate(
        0, worker_state::trial, 1.0 / 16, false, 0) };
    for (int i = 1; i < 10; ++i)
    {
        all.push_back(make_candidate(i, worker_state::active, 1, false, 0));
    }
    std::mt19937_64 random(7);
    least_loaded_of_two policy;
    constexpr int rounds = 20000;
    int on_trial = 0;
    for (int i = 0; i < rounds; ++i)
    {
        on_trial += policy.pick(all, random()) == 0 ? 1 : 0;
    }
    const double normal = rounds / 9.0;
    CHECK(on_trial > normal / 32);
    CHECK(on_trial < normal / 8);
}

// Guards against a policy that ignores the load: the naive policy picks a busy
// worker in its turn, this one only without an alternative.
TEST_CASE("the busiest of three workers is not chosen", "[upstream]")
{
    const worker_candidates all{ make_candidate(
                                     0, worker_state::active, 1, false, 5),
        make_candidate(1, worker_state::active, 1, false, 1),
        make_candidate(2, worker_state::active, 1, false, 1) };
    std::mt19937_64 random(7);
    least_loaded_of_two tested;
    round_robin naive;
    int naive_picks = 0;
    for (int i = 0; i < 300; ++i)
    {
        CHECK(tested.pick(all, random()) != 0);
        naive_picks += naive.pick(all, 0) == 0 ? 1 : 0;
    }
    CHECK(naive_picks == 100);
}
