#include "upstream/worker_outlook.hpp"

#include <catch2/catch.hpp>

using namespace pollenward;
using namespace pollenward::upstream;

namespace {

const core::time_point now = core::time_point() + core::seconds(100);

latency_profile half_second_profile()
{
    latency_sums sums;
    for (int i = 0; i < 200; ++i)
    {
        sums = sums.with_answer(core::milliseconds(i % 2 == 0 ? 400 : 600));
    }
    return latency_profile::make(sums, core::milliseconds(500));
}

exchange_trace trace(int age_ms, trace_state state)
{
    return exchange_trace::make(now - core::milliseconds(age_ms), state);
}

double faulty(const exchange_traces& traces)
{
    return faulty_probability(
        traces, half_second_profile(), gray_failure_model(), now);
}

} // namespace

TEST_CASE(
    "the share of answers that take longer falls with their age", "[upstream]")
{
    const auto profile = half_second_profile();
    CHECK(profile.survival(core::duration::zero()) == 1);
    CHECK(profile.survival(profile.median()) == Approx(0.5));
    CHECK(profile.survival(core::seconds(3)) < 0.01);
    CHECK(profile.median() > core::milliseconds(400));
    CHECK(profile.median() < core::milliseconds(600));
}

// Guards against a worker that hangs and is found out at the deadline only.
TEST_CASE("a worker whose answers are late is suspected long before the "
          "deadline",
    "[upstream]")
{
    const double unknown = faulty({});
    CHECK(unknown == Approx(gray_failure_model().faulty_share));
    CHECK(faulty({ trace(200, trace_state::waiting) }) < unknown + 0.05);
    CHECK(faulty({ trace(1500, trace_state::waiting) }) > 0.8);
    CHECK(faulty({ trace(800, trace_state::waiting),
              trace(750, trace_state::waiting),
              trace(700, trace_state::waiting) })
        > 0.7);
}

TEST_CASE(
    "an answer clears a worker and time makes it unknown again", "[upstream]")
{
    const double fresh = faulty({ trace(300, trace_state::answered),
        trace(600, trace_state::answered) });
    const double old = faulty({ trace(14000, trace_state::answered),
        trace(14300, trace_state::answered) });
    CHECK(fresh < 0.1);
    CHECK(old > 0.2);
    CHECK(faulty({ trace(5000, trace_state::failed),
              trace(400, trace_state::answered) })
        < faulty({ trace(5000, trace_state::failed) }));
}

// Guards against one daemon's order of learning that decides.
TEST_CASE("the order of the traces in the list does not matter", "[upstream]")
{
    const auto a = trace(900, trace_state::failed);
    const auto b = trace(500, trace_state::answered);
    CHECK(faulty({ a, b }) == faulty({ b, a }));
}
