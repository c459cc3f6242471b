#include "scenario.hpp"

namespace pollenward::bench {

namespace {

    int draw_below(random_source& random, int bound)
    {
        return std::uniform_int_distribution<int>(0, bound - 1)(random);
    }

    core::duration draw_between(random_source& random, int low, int high)
    {
        return core::milliseconds(low + draw_below(random, high - low));
    }

    /// Draws one host, a zone or a region, each with probability 2/7, or all
    /// hosts with probability 1/7.
    host_set draw_hosts(random_source& random, host::role role)
    {
        host_set chosen;
        const int hosts
            = role == host::role::daemon ? daemon_count : worker_count;
        switch (draw_below(random, 7))
        {
        case 0:
        case 1:
            chosen.one = host{ role, draw_below(random, hosts) };
            break;
        case 2:
        case 3:
            chosen.zone = draw_below(random, zone_count);
            break;
        case 4:
        case 5:
            chosen.region = draw_below(random, zone_count / zones_per_region);
            break;
        default:
            break;
        }
        return chosen;
    }

    path_fault draw_path(random_source& random)
    {
        path_fault made;
        const bool is_request_side = draw_below(random, 2) == 0;
        host_set daemons = draw_hosts(random, host::role::daemon);
        const host_set workers = draw_hosts(random, host::role::worker);
        if (workers.one && daemons == host_set{})
        {
            // A worker that no daemon reaches would count as faulty.
            daemons.zone = draw_below(random, zone_count);
        }
        made.from = is_request_side ? daemons : workers;
        made.to = is_request_side ? workers : daemons;
        made.start = draw_between(random, 2000, 5000);
        made.end = made.start + draw_between(random, 1000, 8000);
        return made;
    }

} // namespace

scenario make_fault_run(worker_fault fault, std::uint64_t seed)
{
    random_source random(seed);
    scenario made;
    made.seed = seed;
    made.fault = fault;
    made.fault_start = draw_between(random, 3000, 4000);
    return made;
}

scenario make_healthy_run(std::uint64_t seed)
{
    random_source random(seed);
    scenario made;
    made.seed = seed;
    made.length = core::seconds(14);
    made.cut_delay = draw_between(random, 20, 1000);
    const int cuts = 1 + draw_below(random, 2);
    for (int i = 0; i < cuts; ++i)
    {
        made.paths.push_back(draw_path(random));
    }
    if (draw_below(random, 2) == 0)
    {
        path_fault slow = draw_path(random);
        slow.added_delay = draw_between(random, 100, 1500);
        made.paths.push_back(slow);
    }
    if (draw_below(random, 2) == 0)
    {
        made.flood_factor = 10;
        made.flood_start = draw_between(random, 2000, 6000);
        made.flood_end = made.flood_start + draw_between(random, 1000, 5000);
    }
    return made;
}

} // namespace pollenward::bench
