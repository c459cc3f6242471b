#include "fleet/capacity_share.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <cstdlib>
#include <numeric>

using namespace pollenward;
using namespace pollenward::fleet;

namespace {

// RapidCheck reads its seed at the first check; a set RC_PARAMS is kept.
const int fixed_seed = setenv("RC_PARAMS", "seed=1", 0);

std::vector<share_request> any_requests()
{
    std::vector<share_request> requests;
    for (int i = *rc::gen::inRange(1, 50); i > 0; --i)
    {
        const auto number = [] { return *rc::gen::inRange(0, 60) / 4.0; };
        const rank_demand demand{ number(), number(), number() };
        requests.push_back(
            share_request::make(demand, *rc::gen::inRange(1, 9)));
    }
    return requests;
}

double sum(const std::vector<double>& numbers)
{
    return std::accumulate(numbers.begin(), numbers.end(), 0.0);
}

} // namespace

// Guards against shares that under overload add up to far more or to less than
// the capacity, or that leave a daemon without any slot.
TEST_CASE("shares add up to the capacity", "[share][property]")
{
    const bool holds = rc::check([] {
        const auto requests = any_requests();
        const double capacity = *rc::gen::inRange(0, 400);
        const auto shares = allocate_capacity(capacity, requests, {});
        double daemons = 0;
        double demand = 0;
        double usable = 0;
        for (std::size_t i = 0; i < requests.size(); ++i)
        {
            daemons += requests[i].get_daemons();
            demand += total_of(requests[i].get_demand());
            usable += std::min(shares[i], total_of(requests[i].get_demand()));
            RC_ASSERT(shares[i] >= requests[i].get_daemons());
        }
        if (is_overloaded(capacity, requests))
        {
            RC_ASSERT(sum(shares) <= capacity + daemons + 1e-6);
            RC_ASSERT(usable <= std::max(capacity, daemons) + 1e-6);
            RC_ASSERT(usable >= std::min(capacity, demand) - 1e-6);
        }
        else
        {
            RC_ASSERT(usable >= demand - 1e-6);
        }
    });
    CHECK(holds);
}

// Guards against a flood of background work that takes slots from urgent work.
TEST_CASE("urgent demand is served first", "[share][property]")
{
    const bool holds = rc::check([] {
        const double urgent = *rc::gen::inRange(1, 90);
        const double flood = *rc::gen::inRange(200, 2000);
        const std::vector<share_request> requests{ share_request::make(
                                                       { urgent, 0, 0 }, 1),
            share_request::make({ 0, 0, flood }, 1) };
        const auto shares = allocate_capacity(100, requests, {});
        RC_ASSERT(shares[0] >= urgent - 1e-6);
        RC_ASSERT(shares[0] + shares[1] <= 100 + 1e-6);
    });
    CHECK(holds);
}

// Guards against a flood of urgent work that takes the minimum share which
// operators set for the other ranks.
TEST_CASE("other ranks keep their minimum share", "[share]")
{
    const std::vector<share_request> requests{ share_request::make(
                                                   { 1000, 0, 0 }, 1),
        share_request::make({ 0, 0, 1000 }, 1) };
    const auto shares = allocate_capacity(102, requests, { 0, 0, 0.1 });
    // One slot for each daemon, and a tenth of the other hundred.
    CHECK(shares[1] == Approx(1 + 10));
    CHECK(shares[0] == Approx(1 + 90));
}

// Guards against bursts that wait although slots are free.
TEST_CASE("free slots may be used by each daemon", "[share]")
{
    const std::vector<share_request> requests{
        share_request::make({ 0, 10, 0 }, 1), share_request::make({}, 1)
    };
    CHECK(allocate_capacity(100, requests, {}) == std::vector{ 100.0, 90.0 });
}
