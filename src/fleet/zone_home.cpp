#include "fleet/zone_home.hpp"

#include <map>

namespace pollenward::fleet {

zone_view zone_home::on_report(const zone_report& report, core::time_point now)
{
    source told{ now, {} };
    for (const worker_summary& each : report.get_workers())
    {
        told.traffic.emplace_back(each.get_worker(), each.to_traffic(now));
    }
    this->sources.store(report.get_source(), std::move(told));
    for (const service_latencies& each : report.get_latencies())
    {
        this->latencies.visit(
            each.get_service(), [] { return upstream::latency_sums(); },
            [&](upstream::latency_sums& sums) {
                sums = (sums + each.get_sums()).capped(most_latencies);
            });
    }
    std::vector<service_latencies> known;
    for (const auto& [service, sums] : this->latencies.entries())
    {
        known.push_back(service_latencies::make(service, sums));
    }
    return zone_view::make(
        this->others_of(report.get_source(), now), std::move(known));
}

std::vector<worker_summary> zone_home::others_of(
    const core::daemon_id& asker, core::time_point now)
{
    this->sources.erase_if([&](const core::daemon_id&, const source& each) {
        return now - each.heard_at > source_age;
    });
    std::map<core::worker_id, upstream::worker_traffic> joined;
    for (const auto& [daemon, each] : this->sources.entries())
    {
        if (daemon == asker)
        {
            continue;
        }
        for (const auto& [worker, traffic] : each.traffic)
        {
            auto& sum = joined[worker];
            sum = sum.merged(traffic, now);
        }
    }
    std::vector<worker_summary> summaries;
    summaries.reserve(joined.size());
    for (const auto& [worker, traffic] : joined)
    {
        summaries.push_back(worker_summary::of(worker, traffic, now));
    }
    return summaries;
}

} // namespace pollenward::fleet
