#include "flood_simulation.hpp"

#include <CLI/CLI.hpp>

#include <cstdio>
#include <thread>

namespace pollenward::bench {

namespace {

    constexpr rank_loads quiet_loads = { 0.6, 0.1, 0.1 };

    flood_phase measured(const rank_loads& loads, core::duration length)
    {
        return { loads, length, true };
    }

    std::vector<flood_phase> phases_of(char scenario, core::duration length)
    {
        const flood_phase warm_up = { quiet_loads, core::seconds(3), false };
        switch (scenario)
        {
        case 'b':
            return { warm_up, measured({ 0.6, 10, 0.1 }, length) };
        case 'c':
            return { warm_up, measured({ 0.6, 0.1, 10 }, length),
                measured({ 2, 0.1, 0.1 }, length) };
        default:
            return { warm_up, measured({ 0.6, 0.1, 10 }, length) };
        }
    }

    template <flood_policy Policy>
    std::vector<flood_counts> sum_runs(
        const flood_plan& plan, int seeds, int threads)
    {
        std::vector<std::vector<flood_counts>> all(seeds);
        std::vector<std::jthread> pool;
        pool.reserve(threads);
        for (int t = 0; t < threads; ++t)
        {
            pool.emplace_back([&, t] {
                for (int i = t; i < seeds; i += threads)
                {
                    flood_plan own = plan;
                    own.seed = i + 1;
                    all[i] = flood_simulation<Policy>(own).run();
                }
            });
        }
        pool.clear();
        std::vector<flood_counts> total(plan.phases.size());
        for (const auto& run : all)
        {
            for (std::size_t p = 0; p < run.size(); ++p)
            {
                for (std::size_t k = 0; k < class_count; ++k)
                {
                    total[p][k].offered += run[p][k].offered;
                    total[p][k].in_time += run[p][k].in_time;
                    total[p][k].refused_at_once += run[p][k].refused_at_once;
                    total[p][k].sent += run[p][k].sent;
                    total[p][k].attempts += run[p][k].attempts;
                }
            }
        }
        return total;
    }

    double percent(double part, double whole)
    {
        return whole > 0 ? 100 * part / whole : 0;
    }

    /// Standard and background requests answered in time, in per cent of what
    /// they could get: the larger of the capacity left by urgent requests and
    /// their minimum shares, limited to the number offered.
    double percent_kept(const flood_counts& counts, double capacity)
    {
        double offered = 0;
        double in_time = 0;
        double minimum = 0;
        for (std::size_t k = 1; k < class_count; ++k)
        {
            const auto own = static_cast<double>(counts[k].offered);
            offered += own;
            in_time += static_cast<double>(counts[k].in_time);
            minimum += k < core::rank_count
                ? std::min(own, minimum_shares[k] * capacity)
                : 0;
        }
        const double left = capacity - static_cast<double>(counts[0].offered);
        return percent(in_time, std::min(offered, std::max(left, minimum)));
    }

    void print(const char* policy, char scenario, std::size_t phase,
        const flood_counts& counts, double capacity)
    {
        constexpr std::array names
            = { "urgent", "standard", "background", "20 small" };
        class_counts sum;
        for (std::size_t k = 0; k < class_count; ++k)
        {
            const class_counts& each = counts[k];
            sum.sent += each.sent;
            sum.attempts += each.attempts;
            if (each.offered > 0)
            {
                std::printf("%c%zu %-5s %-10s %9lld %8.2f %8.2f\n", scenario,
                    phase, policy, names[k],
                    static_cast<long long>(each.offered),
                    percent(static_cast<double>(each.in_time),
                        static_cast<double>(each.offered)),
                    percent(static_cast<double>(each.refused_at_once),
                        static_cast<double>(each.offered)));
            }
        }
        std::printf("%c%zu %-5s others keep %.1f %% (target 90); attempts per "
                    "request sent %.3f (target 1.1)\n",
            scenario, phase, policy, percent_kept(counts, capacity),
            static_cast<double>(sum.attempts) / static_cast<double>(sum.sent));
        std::fflush(stdout);
    }

} // namespace

} // namespace pollenward::bench

int main(int argc, char** argv)
{
    using namespace pollenward::bench;
    namespace core = pollenward::core;
    CLI::App app("Measures the handling of floods in virtual time");
    flood_plan plan;
    int seeds = 5;
    int threads = 5;
    int length = 5;
    std::string scenarios = "abcd";
    bool is_near = false;
    app.add_option("--daemons", plan.daemons, "daemons, at least 6");
    app.add_option("--workers", plan.workers, "workers");
    app.add_option("--seeds", seeds, "number of runs; seeds start at 1");
    app.add_option("--threads", threads, "threads");
    app.add_option("--length", length, "length of each flood in seconds");
    app.add_option(
        "--scenarios", scenarios, "scenarios to run, letters of abcd");
    app.add_flag(
        "--near", is_near, "use the delay within a zone between all hosts");
    CLI11_PARSE(app, argc, argv);
    plan.has_distance = !is_near;
    std::printf("%d daemons, %d workers, %d seeds, %s; in time and refused at "
                "once in %% (target urgent 99.9 but for c2)\n",
        plan.daemons, plan.workers, seeds, is_near ? "near" : "six zones");
    for (const char scenario : scenarios)
    {
        plan.phases = phases_of(scenario, core::seconds(length));
        plan.has_small_accounts = scenario == 'd';
        const auto fleet = sum_runs<fleet_policy>(plan, seeds, threads);
        const auto naive = sum_runs<naive_policy>(plan, seeds, threads);
        for (std::size_t p = 1; p < plan.phases.size(); ++p)
        {
            const double capacity = plan.capacity() * length * seeds;
            print("fleet", scenario, p, fleet[p], capacity);
            print("naive", scenario, p, naive[p], capacity);
        }
    }
    return 0;
}
