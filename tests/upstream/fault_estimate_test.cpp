#include "upstream/fault_estimate.hpp"

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

send_sample sample(int age_ms, sample_state state)
{
    return send_sample::make(now - core::milliseconds(age_ms), state);
}

double faulty(const send_samples& samples)
{
    return faulty_probability(
        samples, half_second_profile(), gray_failure_model(), now);
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

// Guards against a worker that hangs and is detected only at the deadline.
TEST_CASE("a worker whose answers are late is suspected long before the "
          "deadline",
    "[upstream]")
{
    const double unknown = faulty({});
    CHECK(unknown == Approx(gray_failure_model().faulty_share));
    CHECK(faulty({ sample(200, sample_state::waiting) }) < unknown + 0.05);
    CHECK(faulty({ sample(1500, sample_state::waiting) }) > 0.8);
    CHECK(faulty({ sample(800, sample_state::waiting),
              sample(750, sample_state::waiting),
              sample(700, sample_state::waiting) })
        > 0.7);
}

TEST_CASE(
    "an answer lowers the fault estimate, which decays to the prior with time",
    "[upstream]")
{
    const double fresh = faulty({ sample(300, sample_state::answered),
        sample(600, sample_state::answered) });
    const double old = faulty({ sample(14000, sample_state::answered),
        sample(14300, sample_state::answered) });
    CHECK(fresh < 0.1);
    CHECK(old > 0.2);
    CHECK(faulty({ sample(5000, sample_state::failed),
              sample(400, sample_state::answered) })
        < faulty({ sample(5000, sample_state::failed) }));
}

// Guards against an estimate that depends on the order in which a daemon
// received the samples.
TEST_CASE("the order of the samples in the list does not matter", "[upstream]")
{
    const auto a = sample(900, sample_state::failed);
    const auto b = sample(500, sample_state::answered);
    CHECK(faulty({ a, b }) == faulty({ b, a }));
}
