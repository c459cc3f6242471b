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

std::vector<share_claim> any_claims()
{
    std::vector<share_claim> claims;
    for (int i = *rc::gen::inRange(1, 50); i > 0; --i)
    {
        const auto number = [] { return *rc::gen::inRange(0, 60) / 4.0; };
        const rank_demand demand{ number(), number(), number() };
        claims.push_back(share_claim::make(demand, *rc::gen::inRange(1, 9)));
    }
    return claims;
}

double sum(const std::vector<double>& numbers)
{
    return std::accumulate(numbers.begin(), numbers.end(), 0.0);
}

} // namespace

// Guards against shares that add up to far more than the capacity in a flood,
// less than it, or leave a daemon without any slot.
TEST_CASE("shares add up to the capacity", "[share][property]")
{
    const bool holds = rc::check([] {
        const auto claims = any_claims();
        const double capacity = *rc::gen::inRange(0, 400);
        const auto shares = deal_capacity(capacity, claims, {});
        double daemons = 0;
        double demand = 0;
        double usable = 0;
        for (std::size_t i = 0; i < claims.size(); ++i)
        {
            daemons += claims[i].get_daemons();
            demand += total_of(claims[i].get_demand());
            usable += std::min(shares[i], total_of(claims[i].get_demand()));
            RC_ASSERT(shares[i] >= claims[i].get_daemons());
        }
        if (is_overloaded(capacity, claims))
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
        const std::vector<share_claim> claims{ share_claim::make(
                                                   { urgent, 0, 0 }, 1),
            share_claim::make({ 0, 0, flood }, 1) };
        const auto shares = deal_capacity(100, claims, {});
        RC_ASSERT(shares[0] >= urgent - 1e-6);
        RC_ASSERT(shares[0] + shares[1] <= 100 + 1e-6);
    });
    CHECK(holds);
}

// Guards against a flood of urgent work that takes the share which operators
// keep for the other ranks.
TEST_CASE("other ranks keep their minimum share", "[share]")
{
    const std::vector<share_claim> claims{ share_claim::make({ 1000, 0, 0 }, 1),
        share_claim::make({ 0, 0, 1000 }, 1) };
    const auto shares = deal_capacity(102, claims, { 0, 0, 0.1 });
    // One slot each for the daemons, a tenth of the other hundred.
    CHECK(shares[1] == Approx(1 + 10));
    CHECK(shares[0] == Approx(1 + 90));
}

// Guards against bursts that wait although slots are free.
TEST_CASE("free slots may be used by each daemon", "[share]")
{
    const std::vector<share_claim> claims{ share_claim::make({ 0, 10, 0 }, 1),
        share_claim::make({}, 1) };
    CHECK(deal_capacity(100, claims, {}) == std::vector{ 100.0, 90.0 });
}
