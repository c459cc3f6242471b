#include "fleet/zone_aggregator.hpp"

#include <map>

namespace pollenward::fleet {

zone_view zone_aggregator::on_report(
    const zone_report& report, core::time_point now)
{
    source received{ now, {} };
    for (const worker_summary& each : report.get_workers())
    {
        received.traffic.emplace_back(each.get_worker(), each.to_traffic(now));
    }
    this->sources.store(report.get_source(), std::move(received));
    for (const service_latencies& each : report.get_latencies())
    {
        this->latencies.visit(
            each.get_service(), [] { return upstream::latency_sums(); },
            [&](upstream::latency_sums& sums) {
                sums = (sums + each.get_sums()).capped(max_latency_count);
            });
    }
    std::vector<service_latencies> totals;
    for (const auto& [service, sums] : this->latencies.entries())
    {
        totals.push_back(service_latencies::make(service, sums));
    }
    return zone_view::make(
        this->traffic_of_others(report.get_source(), now), std::move(totals));
}

std::vector<worker_summary> zone_aggregator::traffic_of_others(
    const core::daemon_id& receiver, core::time_point now)
{
    this->sources.erase_if([&](const core::daemon_id&, const source& each) {
        return now - each.received_at > max_source_age;
    });
    std::map<core::worker_id, upstream::worker_traffic> joined;
    for (const auto& [daemon, each] : this->sources.entries())
    {
        if (daemon == receiver)
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
