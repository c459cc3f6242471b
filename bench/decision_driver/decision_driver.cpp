#include "naive_detector.hpp"
#include "pooled_detector.hpp"
#include "scenario.hpp"
#include "simulation.hpp"

#include <CLI/CLI.hpp>

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace pollenward::bench {

namespace {

    /// Runs seeds 1 to `runs` on `threads` threads. Results are in seed order.
    template <detector Detector, class MakePlan>
    std::vector<run_result> run_all(int runs, int threads, MakePlan make_plan)
    {
        std::vector<run_result> results(runs);
        std::vector<std::jthread> pool;
        pool.reserve(threads);
        for (int t = 0; t < threads; ++t)
        {
            pool.emplace_back([&, t] {
                for (int i = t; i < runs; i += threads)
                {
                    const scenario plan = make_plan(i + 1);
                    results[i] = simulation<Detector>(plan).run();
                }
            });
        }
        pool.clear();
        return results;
    }

    /// Quantile of the detection time in seconds, or "never" if it falls on a
    /// run without detection.
    std::string quantile(const std::vector<run_result>& runs, double share)
    {
        std::vector<double> times;
        times.reserve(runs.size());
        for (const run_result& each : runs)
        {
            times.push_back(
                each.detected ? core::to_seconds(*each.detected) : INFINITY);
        }
        std::sort(times.begin(), times.end());
        const auto position = static_cast<std::size_t>(
            std::ceil(share * static_cast<double>(times.size())));
        const double value = times[std::max<std::size_t>(position, 1) - 1];
        char text[32];
        std::snprintf(text, sizeof text, "%.2f", value);
        return std::isinf(value) ? "never" : text;
    }

    int count_false(const std::vector<run_result>& runs)
    {
        return static_cast<int>(std::count_if(runs.begin(), runs.end(),
            [](const auto& each) { return each.false_ejections > 0; }));
    }

    void print_row(const char* name, const char* detector,
        const std::vector<run_result>& runs, const char* target)
    {
        control_traffic sum;
        for (const run_result& each : runs)
        {
            sum.messages += each.traffic.messages;
            sum.bytes += each.traffic.bytes;
        }
        const double seconds = static_cast<double>(runs.size()) * daemon_count
            * core::to_seconds(scenario{}.length);
        std::printf("%-12s %-7s %5zu %7s %7s %7s %6d %8.1f %8.0f  %s\n", name,
            detector, runs.size(), quantile(runs, 0.5).c_str(),
            quantile(runs, 0.99).c_str(), quantile(runs, 1).c_str(),
            count_false(runs), static_cast<double>(sum.messages) / seconds,
            static_cast<double>(sum.bytes) / seconds, target);
        std::fflush(stdout);
    }

    void measure_fault(const char* name, worker_fault fault, int runs,
        int threads, const char* target)
    {
        const auto make_plan
            = [fault](int seed) { return make_fault_run(fault, seed); };
        print_row(name, "pooled",
            run_all<pooled_detector>(runs, threads, make_plan), target);
        const auto make_without_notices = [fault](int seed) {
            scenario plan = make_fault_run(fault, seed);
            plan.has_notices = false;
            return plan;
        };
        print_row(name, "replies",
            run_all<pooled_detector>(runs, threads, make_without_notices),
            "without notices");
        print_row(name, "naive",
            run_all<naive_detector>(runs, threads, make_plan), "");
    }

    void measure_healthy(int runs, int threads)
    {
        const auto pooled
            = run_all<pooled_detector>(runs, threads, make_healthy_run);
        const auto naive
            = run_all<naive_detector>(runs, threads, make_healthy_run);
        std::printf("healthy runs %d: with false ejections pooled %d, naive %d "
                    "(target 0)\n",
            runs, count_false(pooled), count_false(naive));
        for (int i = 0; i < runs; ++i)
        {
            if (pooled[i].false_ejections > 0)
            {
                std::printf("  false ejection with seed %d\n", i + 1);
            }
        }
    }

} // namespace

} // namespace pollenward::bench

int main(int argc, char** argv)
{
    using namespace pollenward::bench;
    CLI::App app("Measures health decisions in virtual time");
    int fault_runs = 200;
    int healthy_runs = 1000;
    int threads = 3;
    app.add_option("--fault-runs", fault_runs, "seeds per kind of fault");
    app.add_option("--healthy-runs", healthy_runs, "seeds without a fault");
    app.add_option("--threads", threads, "threads");
    CLI11_PARSE(app, argc, argv);
    std::printf("%-12s %-7s %5s %7s %7s %7s %6s %8s %8s\n", "fault", "", "runs",
        "p50 s", "p99 s", "max s", "false", "msg/s", "byte/s");
    measure_fault(
        "all", worker_fault::all, fault_runs, threads, "target 1 s everywhere");
    measure_fault("3 in 10", worker_fault::three_in_ten, fault_runs, threads,
        "target 5 s everywhere");
    measure_fault("silent", worker_fault::silent, fault_runs, threads,
        "no target; attempts fail after 1 s");
    measure_fault("slow", worker_fault::slow, fault_runs, threads,
        "no target; 20 x service time");
    measure_fault("flapping", worker_fault::flapping, fault_runs, threads,
        "no target; 2 s bad, 2 s good");
    std::printf("msg/s and byte/s: control traffic per daemon, one service\n");
    measure_healthy(healthy_runs, threads);
    return 0;
}
