#include "operators/metrics.hpp"

#include "operators/metrics_text.hpp"

#include <catch2/catch.hpp>

#include <numeric>
#include <thread>

using namespace pollenward;
using namespace pollenward::operators;

namespace {

std::uint64_t count_of(const latency_series& series)
{
    const auto& counts = series.get_counts();
    return std::accumulate(counts.begin(), counts.end(), std::uint64_t(0));
}

void record(metrics& target, const std::string& account, int times = 1)
{
    for (int i = 0; i < times; ++i)
    {
        target.record(core::rank::urgent, core::account_id(account),
            caller::outcome_kind::answered, core::milliseconds(3));
    }
}

} // namespace

// Guards against memory that grows with the number of accounts, and against a
// burst of new accounts that evicts the busiest.
TEST_CASE("the busiest 64 accounts are named, the others share one series",
    "[operators]")
{
    metrics target;
    for (int round = 0; round < 20; ++round)
    {
        record(target, "busy", 100);
        for (int i = 0; i < 1000; ++i)
        {
            record(target, "a" + std::to_string(round * 1000 + i));
        }
    }
    const auto accounts = target.snapshot().get_by_account();
    CHECK(accounts.size() == max_account_series + 1);
    CHECK(accounts.front().get_labels() == "account=\"busy\"");
    CHECK(count_of(accounts.front()) == 2000);
    std::uint64_t total = 0;
    for (const auto& each : accounts)
    {
        total += count_of(each);
    }
    CHECK(total == 22000);
}

TEST_CASE(
    "requests recorded from several threads are all counted", "[operators]")
{
    metrics target;
    {
        std::vector<std::jthread> threads;
        for (int i = 0; i < 4; ++i)
        {
            threads.emplace_back([&] {
                record(target, "a", 1000);
                target.add("retries_total", 2);
            });
        }
    }
    const auto seen = target.snapshot();
    CHECK(count_of(seen.get_by_rank().front()) == 4000);
    REQUIRE(seen.get_values().size() == 1);
    CHECK(seen.get_values()[0].get_value() == 8);
}

// Guards against text that Prometheus rejects or misreads: counts that are not
// cumulative, a missing +Inf, an unescaped label.
TEST_CASE("metrics are written in the text format", "[operators]")
{
    metrics target;
    record(target, "x\"y\\");
    target.record(core::rank::urgent, core::account_id("z"),
        caller::outcome_kind::answered, core::seconds(100));
    target.add("requests_total{reason=\"a\"}");
    target.set("workers", 2.5);
    const std::string text = encode_metrics(target.snapshot());
    const std::string urgent
        = "pollenward_request_duration_ms_bucket{rank=\"urgent\","
          "outcome=\"answered\",le=";
    using Catch::Contains;
    CHECK_THAT(text, Contains(urgent + "\"2\"} 0\n"));
    CHECK_THAT(text, Contains(urgent + "\"4\"} 1\n"));
    CHECK_THAT(text, Contains(urgent + "\"32768\"} 1\n"));
    CHECK_THAT(text, Contains(urgent + "\"+Inf\"} 2\n"));
    CHECK_THAT(text,
        Contains("ms_sum{rank=\"urgent\",outcome=\"answered\"} 100003\n"));
    CHECK_THAT(
        text, Contains("ms_count{rank=\"urgent\",outcome=\"answered\"} 2\n"));
    CHECK_THAT(text, Contains("account=\"x\\\"y\\\\\",le=\"+Inf\"} 1\n"));
    CHECK_THAT(text,
        Contains("# TYPE pollenward_requests_total counter\n"
                 "pollenward_requests_total{reason=\"a\"} 1\n"));
    CHECK_THAT(text, Contains("# TYPE pollenward_workers gauge\n"));
}
