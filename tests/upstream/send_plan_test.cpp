#include "upstream/send_plan.hpp"

#include <catch2/catch.hpp>

using namespace pollenward;
using namespace pollenward::upstream;

namespace {

const core::time_point start = core::time_point() + core::seconds(100);

send_progress one_waiting(bool is_idempotent)
{
    send_progress made;
    made.is_idempotent = is_idempotent;
    made.sends = 1;
    made.max_sends = 2;
    made.waiting = 1;
    made.last_sent_at = start;
    made.deadline = start + core::seconds(10);
    return made;
}

const latency_profile prior
    = latency_profile::make(latency_sums(), core::milliseconds(500));

} // namespace

// Guards against a second execution of a request that must not run twice.
TEST_CASE("a request that is not idempotent is sent again only if it has "
          "certainly not run",
    "[upstream]")
{
    const auto progress = one_waiting(false);
    CHECK(may_send_again(progress, attempt_result::refused_shed));
    CHECK(may_send_again(progress, attempt_result::not_sent));
    CHECK_FALSE(may_send_again(progress, attempt_result::broken_after_send));
    CHECK_FALSE(may_send_again(progress, attempt_result::timed_out));
    CHECK_FALSE(time_of_second_send(progress, prior));
}

// Guards against more sends than the operators allow.
TEST_CASE("the number of sends is bounded", "[upstream]")
{
    auto progress = one_waiting(true);
    CHECK(may_send_again(progress, attempt_result::broken_after_send));
    CHECK(time_of_second_send(progress, prior));
    progress.sends = 2;
    CHECK_FALSE(may_send_again(progress, attempt_result::broken_after_send));
    CHECK_FALSE(time_of_second_send(progress, prior));
}

// Guards against second sends that cost capacity and come too late.
TEST_CASE(
    "a second send is made only while it can be answered in time", "[upstream]")
{
    auto progress = one_waiting(true);
    progress.deadline = start + core::milliseconds(1000);
    CHECK_FALSE(time_of_second_send(progress, prior));
}

// Guards against second sends of the fleet that add to an overload.
TEST_CASE("all daemons together stay within the limits for second sends",
    "[upstream]")
{
    const retry_limits limits{ 0.2, 62, core::seconds(10) };
    constexpr int daemons = 44;
    constexpr int requests = 100;
    int sends = 0;
    for (int daemon = 0; daemon < daemons; ++daemon)
    {
        auto mine = retry_allowance::make(limits, daemons);
        for (int i = 0; i < requests; ++i)
        {
            mine = mine.with_request();
            sends += mine.allows_send() ? 1 : 0;
            mine = mine.with_send();
        }
    }
    CHECK(sends <= limits.ratio * daemons * requests + limits.slack);
    CHECK(sends > 0.7 * limits.ratio * daemons * requests);
}
