#include "upstream/ejection_record.hpp"
#include "upstream/evidence_store.hpp"
#include "upstream/path_failure_tracker.hpp"

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

// Guards against counts that decay at the wrong rate and against a result with
// an old time that counts twice.
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

// Guards against ejecting workers that shed load during an overload.
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

// Guards against further use of a broken path, and against counting responses
// as path failures.
TEST_CASE(
    "a worker with repeated connect failures is avoided at once", "[evidence]")
{
    path_failure_tracker tracker;
    for (int i = 0; i < 3; ++i)
    {
        CHECK(tracker.avoided(service, start).empty());
        tracker.record(service, worker_a, attempt_result::not_sent, start);
    }
    CHECK(tracker.avoided(service, start) == std::vector{ worker_a });
    const auto later = start + core::seconds(1);
    CHECK(tracker.avoided(service, later).empty());
    tracker.record(service, worker_a, attempt_result::not_sent, later);
    CHECK(
        tracker.avoided(service, later + core::milliseconds(1900)).size() == 1);
    tracker.record(service, worker_a, attempt_result::answered, later);
    CHECK(tracker.avoided(service, later).empty());
}

// Guards against a flapping worker that returns equally fast each time, and
// against one that never returns.
TEST_CASE(
    "the ejection time doubles per ejection up to five minutes", "[ejection]")
{
    CHECK(ejection_duration(1) == core::seconds(5));
    CHECK(ejection_duration(2) == core::seconds(10));
    CHECK(ejection_duration(6) == core::seconds(160));
    CHECK(ejection_duration(7) == std::chrono::minutes(5));
    CHECK(ejection_duration(1000) == std::chrono::minutes(5));
    auto record = ejection_record::make(worker_a).with_ejection(start);
    std::vector<double> weights;
    while (record.get_state() != worker_state::active)
    {
        record = record.with_next_step({}, start);
        weights.push_back(record.get_weight());
    }
    CHECK(weights == std::vector{ 1.0 / 16, 0.25, 0.5, 1.0 });
}
