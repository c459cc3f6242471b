#include "upstream/evidence_store.hpp"
#include "upstream/local_avoidance.hpp"
#include "upstream/worker_record.hpp"

#include <catch2/catch.hpp>

#include <thread>
#include <vector>

using namespace pollenward;
using namespace pollenward::upstream;

namespace {

const core::time_point start{ core::seconds(1000) };
const core::service_id service("votes");
const core::worker_id worker_a("a");

} // namespace

// Guards against a window that forgets at the wrong pace or counts a result
// with an old time twice.
TEST_CASE("counts decay with both time constants", "[evidence]")
{
    const auto window = evidence_window::make(start)
                            .with_result(true, start)
                            .with_result(false, start - core::seconds(1));
    const auto counts = window.counts(start + core::seconds(10));
    CHECK(counts.get_fast_failures() == Approx(std::exp(-10)));
    CHECK(counts.get_slow_failures() == Approx(std::exp(-1)));
    CHECK(counts.get_slow_successes() == Approx(std::exp(-1)));
}

// Guards against ejecting workers for shedding load in a flood.
TEST_CASE("refusals are no evidence", "[evidence]")
{
    CHECK(
        evidence_of(attempt_result::refused_shed, 503) == evidence_kind::none);
    CHECK(evidence_of(attempt_result::refused_draining, 503)
        == evidence_kind::none);
    CHECK(evidence_of(attempt_result::answered, 500) == evidence_kind::failure);
    CHECK(evidence_of(attempt_result::answered, 404) == evidence_kind::success);
}

// Guards against lost results when threads record at the same time.
TEST_CASE("results of several threads are all counted", "[evidence][shards]")
{
    evidence_store store;
    {
        std::vector<std::jthread> threads;
        threads.reserve(4);
        for (int t = 0; t < 4; ++t)
        {
            threads.emplace_back([&] {
                for (int i = 0; i < 500; ++i)
                {
                    store.record(service, worker_a, i % 2 == 0, start);
                }
            });
        }
    }
    const auto all = store.collect(start);
    REQUIRE(all.size() == 1);
    CHECK(all[0].get_counts().get_slow_failures() == Approx(1000));
    CHECK(all[0].get_counts().get_slow_successes() == Approx(1000));
    CHECK(store.collect(start + std::chrono::minutes(5)).empty());
}

// Guards against a broken path that is used on, and against answers with
// errors that would be taken for a broken path.
TEST_CASE("repeated connect failures are avoided at once", "[evidence]")
{
    local_avoidance avoidance;
    for (int i = 0; i < 3; ++i)
    {
        CHECK(avoidance.avoided(service, start).empty());
        avoidance.record(service, worker_a, attempt_result::not_sent, start);
    }
    CHECK(avoidance.avoided(service, start) == std::vector{ worker_a });
    const auto later = start + core::seconds(1);
    CHECK(avoidance.avoided(service, later).empty());
    avoidance.record(service, worker_a, attempt_result::not_sent, later);
    CHECK(avoidance.avoided(service, later + core::milliseconds(1900)).size()
        == 1);
    avoidance.record(service, worker_a, attempt_result::answered, later);
    CHECK(avoidance.avoided(service, later).empty());
}

// Guards against a flapping worker that returns as fast each time, and against
// one that is never tried again.
TEST_CASE("the hold doubles per ejection up to five minutes", "[ejection]")
{
    CHECK(hold_time(1) == core::seconds(5));
    CHECK(hold_time(2) == core::seconds(10));
    CHECK(hold_time(6) == core::seconds(160));
    CHECK(hold_time(7) == std::chrono::minutes(5));
    CHECK(hold_time(1000) == std::chrono::minutes(5));
    auto record = worker_record::make(worker_a).with_ejection(start);
    std::vector<double> weights;
    while (record.get_state() != worker_state::active)
    {
        record = record.with_step({}, start);
        weights.push_back(record.get_weight());
    }
    CHECK(weights == std::vector{ 1.0 / 16, 0.25, 0.5, 1.0 });
}
