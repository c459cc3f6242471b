#include "sizes.hpp"

#include <benchmark/benchmark.h>

#include <cstdio>
#include <string>
#include <vector>

namespace {

/// Prints a row per benchmark: "decisions.NAME.ARGUMENT VALUE ns".
class row_reporter : public benchmark::BenchmarkReporter {
public:
    bool ReportContext(const Context&) override { return true; }

    void ReportRuns(const std::vector<Run>& runs) override
    {
        for (const Run& each : runs)
        {
            std::printf("decisions.%s %.4g ns\n",
                each.run_name.function_name.empty()
                    ? each.benchmark_name().c_str()
                    : row_name(each).c_str(),
                each.GetAdjustedCPUTime());
        }
        std::fflush(stdout);
    }

private:
    static std::string row_name(const Run& run)
    {
        std::string name = run.run_name.function_name;
        if (!run.run_name.args.empty())
        {
            name += "." + run.run_name.args;
        }
        return name;
    }
};

} // namespace

int main(int argc, char** argv)
{
    benchmark::Initialize(&argc, argv);
    row_reporter reporter;
    benchmark::RunSpecifiedBenchmarks(&reporter);
    pollenward::bench::print_sizes();
    return 0;
}
