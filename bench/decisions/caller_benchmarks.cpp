#include "inputs.hpp"

#include "caller/admission_queue.hpp"
#include "caller/claim_table.hpp"
#include "caller/route_table.hpp"
#include "operators/configuration_json.hpp"

#include <benchmark/benchmark.h>

#include <cstdint>
#include <string>
#include <vector>

namespace pollenward::bench {

namespace {

    const core::time_point start{ core::seconds(1000) };

    void find_route(benchmark::State& state)
    {
        const int routes = static_cast<int>(state.range(0));
        const auto table
            = caller::route_table::make(make_configuration(routes));
        const std::string path = path_of_route(routes / 2);
        for (auto _ : state)
        {
            benchmark::DoNotOptimize(table.find("GET", path));
        }
    }
    BENCHMARK(find_route)->Arg(24)->Arg(240)->Arg(2400);

    /// Offers, admits and finishes a request while the queue contains requests
    /// of up to 500 accounts.
    void admit(benchmark::State& state)
    {
        const auto accounts = static_cast<std::uint64_t>(state.range(0));
        caller::admission_queue queue;
        const auto limits = caller::admission_limits::make(2, { 0, 0.2, 0.1 });
        const auto ticket = [&](std::uint64_t number) {
            return caller::admission_ticket::make(number, core::rank::standard,
                core::account_id(
                    "account-" + std::to_string(number % accounts)),
                start + core::seconds(10));
        };
        std::uint64_t number = 0;
        for (int i = 0; i < 500; ++i)
        {
            queue.offer(ticket(number++), limits, start);
        }
        for (auto _ : state)
        {
            queue.offer(ticket(number++), limits, start);
            const auto step = queue.admit_next(limits, start);
            if (step.get_admitted())
            {
                queue.finish(*step.get_admitted(), core::milliseconds(5));
            }
        }
    }
    BENCHMARK(admit)->Arg(100)->Arg(28000);

    void find_owners(benchmark::State& state)
    {
        const auto roster = make_roster(static_cast<int>(state.range(0)), 12);
        std::uint32_t partition = 0;
        for (auto _ : state)
        {
            benchmark::DoNotOptimize(roster.owners_of(caller::claim_partition(
                partition++ % caller::claim_partition_count)));
        }
    }
    BENCHMARK(find_owners)->Arg(44)->Arg(470);

    /// Returns request ids whose partition the daemon owns.
    std::vector<core::request_id> owned_ids(const caller::claim_roster& roster,
        const core::daemon_id& owner, std::size_t count)
    {
        std::vector<bool> owned;
        for (std::uint32_t i = 0; i < caller::claim_partition_count; ++i)
        {
            const auto owners = roster.owners_of(caller::claim_partition(i));
            owned.push_back(owners[0] == owner || owners[1] == owner);
        }
        std::vector<core::request_id> ids;
        for (std::size_t i = 0; ids.size() < count; ++i)
        {
            const core::request_id id("request-" + std::to_string(i));
            if (owned[caller::partition_of(id).get()])
            {
                ids.push_back(id);
            }
        }
        return ids;
    }

    /// Claims ids of one owner and settles them as not run, so that the table
    /// stays small.
    void claim(benchmark::State& state)
    {
        const auto roster = make_roster(static_cast<int>(state.range(0)), 12);
        const auto owner = roster.owners_of(caller::claim_partition(0)).front();
        caller::claim_table table(
            owner, core::incarnation_number(1'790'000'000'000));
        table.install_roster(roster, start);
        const auto ids = owned_ids(roster, owner, 1000);
        const auto claiming_daemon = caller::claimant::make(
            daemon_name(1), core::incarnation_number(1), 1);
        std::size_t next = 0;
        std::size_t refused = 0;
        for (auto _ : state)
        {
            const auto& id = ids[next++ % ids.size()];
            const auto answer = table.claim(
                id, 7, claiming_daemon, roster.get_version(), true, start);
            refused += answer.get_verdict() != caller::claim_verdict::granted;
            table.settle(id, claiming_daemon, caller::claim_state::not_run);
        }
        if (refused > 0)
        {
            state.SkipWithError("claims were refused");
        }
    }
    BENCHMARK(claim)->Arg(44)->Arg(470);

    void install_roster(benchmark::State& state)
    {
        auto roster = make_roster(static_cast<int>(state.range(0)), 12);
        caller::claim_table table(
            daemon_name(7), core::incarnation_number(1'790'000'000'000));
        bool is_member = true;
        for (auto _ : state)
        {
            table.install_roster(roster, start);
            state.PauseTiming();
            const auto last = caller::roster_member::make(
                daemon_name(0), zone_name(0, 12), core::incarnation_number(2));
            roster = is_member ? roster.without_member(daemon_name(0))
                               : roster.with_member(last);
            is_member = !is_member;
            state.ResumeTiming();
        }
    }
    BENCHMARK(install_roster)->Arg(44)->Arg(470);

    void decode_configuration(benchmark::State& state)
    {
        const std::string text = operators::encode_configuration(
            make_configuration(static_cast<int>(state.range(0))));
        for (auto _ : state)
        {
            std::vector<core::error> reasons;
            benchmark::DoNotOptimize(
                operators::decode_configuration(text, reasons));
        }
    }
    BENCHMARK(decode_configuration)->Arg(24)->Arg(2400);

} // namespace

} // namespace pollenward::bench
