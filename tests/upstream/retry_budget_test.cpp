#include "upstream/retry_budget.hpp"
#include "upstream/retry_policy.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <vector>

using namespace pollenward;
using namespace pollenward::upstream;

// Guards against retry storms: all attempts together stay within 1.1 times the
// requests at any time, whichever attempts fail.
TEST_CASE("attempts never exceed 1.1 times the requests", "[property]")
{
    CHECK(rc::check("attempts are bounded", [] {
        const auto results = *rc::gen::container<std::vector<bool>>(
            rc::gen::arbitrary<bool>());
        const int repeats = *rc::gen::inRange(1, 40);
        retry_budget budget;
        int requests = 0;
        int attempts = 0;
        for (int round = 0; round < repeats; ++round)
        {
            for (const bool is_request : results)
            {
                if (is_request)
                {
                    budget = budget.with_request();
                    ++requests;
                    ++attempts;
                }
                else if (budget.allows_retry())
                {
                    budget = budget.with_retry();
                    ++attempts;
                }
                RC_ASSERT(10 * attempts <= 11 * requests);
            }
        }
    }));
}

// Guards against a second execution of a request that must run at most once,
// and against retries that add to an overload.
TEST_CASE(
    "a retry is refused if it is unsafe or exceeds the budget", "[upstream]")
{
    retry_budget budget;
    for (int i = 0; i < 10; ++i)
    {
        budget = budget.with_request();
    }
    const core::time_point now;
    const auto deadline = now + core::seconds(1);
    const auto decide = [&](bool is_idempotent, attempt_result result) {
        return decide_retry(
            is_idempotent, result, 1, budget, false, deadline, now);
    };
    for (const auto result :
        { attempt_result::broken_after_send, attempt_result::silent })
    {
        CHECK(decide(false, result) == retry_decision::stop);
        CHECK(decide(true, result) == retry_decision::retry);
    }
    for (const auto result : { attempt_result::not_sent,
             attempt_result::refused_shed, attempt_result::refused_draining })
    {
        CHECK(decide(false, result) == retry_decision::retry);
        CHECK(decide_retry(true, result, 1, budget, true, deadline, now)
            == retry_decision::stop);
        CHECK(decide_retry(true, result, 1, {}, false, deadline, now)
            == retry_decision::stop);
        CHECK(decide_retry(true, result, 1, budget, false, now, now)
            == retry_decision::stop);
    }
}
