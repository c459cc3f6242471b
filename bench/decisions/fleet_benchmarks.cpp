#include "inputs.hpp"

#include "fleet/membership.hpp"
#include "fleet/service_aggregator.hpp"
#include "upstream/floor.hpp"
#include "upstream/worker_subset.hpp"

#include <benchmark/benchmark.h>

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace pollenward::bench {

namespace {

    const core::time_point start{ core::seconds(1000) };
    const core::service_id service("service-1");

    fleet::membership make_membership(int members)
    {
        fleet::membership made(make_member(0, target_zones), {}, 1);
        for (int i = 1; i < members; ++i)
        {
            made.on_record(make_member(i, target_zones), start);
        }
        return made;
    }

    /// One protocol period: sends a ping, receives its ack and answers a ping.
    void membership_period(benchmark::State& state)
    {
        const int members = static_cast<int>(state.range(0));
        auto tested = make_membership(members);
        auto now = start;
        int peer = 1;
        for (auto _ : state)
        {
            now += fleet::ping_interval;
            for (const fleet::probe& each : tested.tick(now))
            {
                const int target = std::stoi(
                    each.get_target().str().substr(sizeof "daemon-" - 1));
                tested.on_ack(each,
                    fleet::ack::make(make_member(target, target_zones), {}, {}),
                    now);
            }
            peer = peer % (members - 1) + 1;
            benchmark::DoNotOptimize(tested.on_ping(
                fleet::ping::make(
                    make_member(peer, target_zones), {}, 1, false),
                now));
        }
    }
    BENCHMARK(membership_period)->Arg(44)->Arg(200)->Arg(470);

    fleet::service_view make_view(int daemons, int workers)
    {
        return fleet::service_view::make(make_workers(workers, target_zones),
            {}, 0.5, core::slot_count(6), { 0, 0.2, 0.1 },
            make_zone_daemons(daemons * target_zones, target_zones));
    }

    /// The daemons of the zone report in turn, each at intervals of 500 ms.
    void home_report(benchmark::State& state)
    {
        const int daemons = static_cast<int>(state.range(0));
        const int workers = static_cast<int>(state.range(1));
        fleet::service_aggregator home(zone_name(0, target_zones), 0);
        home.store_view(service, make_view(daemons, workers));
        auto now = start;
        std::uint64_t sequence = 0;
        for (auto _ : state)
        {
            now += core::milliseconds(500) / daemons;
            ++sequence;
            const int daemon
                = static_cast<int>(sequence % daemons) * target_zones;
            benchmark::DoNotOptimize(home.on_report(
                make_report(daemon, workers, target_zones, sequence), now));
        }
    }
    BENCHMARK(home_report)->ArgsProduct({ { 7, 20, 40 }, { 12, 19, 24 } });

    void home_summary(benchmark::State& state)
    {
        const int daemons = static_cast<int>(state.range(0));
        const int workers = static_cast<int>(state.range(1));
        fleet::service_aggregator home(zone_name(0, target_zones), 0);
        home.store_view(service, make_view(daemons, workers));
        for (int i = 0; i < daemons; ++i)
        {
            home.on_report(
                make_report(i * target_zones, workers, target_zones, 1), start);
        }
        for (auto _ : state)
        {
            benchmark::DoNotOptimize(home.summary(service, start));
        }
    }
    BENCHMARK(home_summary)->ArgsProduct({ { 7, 20, 40 }, { 12, 19, 24 } });

    void usable_workers(benchmark::State& state)
    {
        const int count = static_cast<int>(state.range(0));
        const auto workers = make_workers(count, target_zones);
        const auto held = upstream::make_received_verdicts(
            { upstream::verdict::make(worker_name(1),
                upstream::worker_state::ejected, 0, core::seconds(5), 1) },
            start);
        for (auto _ : state)
        {
            benchmark::DoNotOptimize(upstream::usable_workers(
                workers, held, {}, { worker_name(2) }, 0.5, start));
        }
    }
    BENCHMARK(usable_workers)->Arg(12)->Arg(19)->Arg(24);

    void find_subset(benchmark::State& state)
    {
        const auto daemons = make_subset_daemons(
            static_cast<int>(state.range(0)), target_zones);
        const auto workers
            = make_workers(static_cast<int>(state.range(1)), target_zones);
        for (auto _ : state)
        {
            benchmark::DoNotOptimize(
                upstream::find_subset(daemon_name(3), daemons, workers, 400));
        }
    }
    BENCHMARK(find_subset)->Args({ 44, 19 })->Args({ 470, 24 });

} // namespace

} // namespace pollenward::bench
