#include "main/evidence_aggregator.hpp"

#include "upstream/drain_state.hpp"

#include <optional>
#include <utility>

namespace pollenward::main {

namespace {

    using report_times = std::map<core::worker_id, core::time_point>;

    void drop_expired(report_times& times, core::time_point now)
    {
        std::erase_if(times, [&](const auto& entry) {
            return now - entry.second >= upstream::drain_state::notice_ttl;
        });
    }

    void append_valid(const report_times& times, core::time_point now,
        std::vector<core::worker_id>& workers)
    {
        for (const auto& [worker, time] : times)
        {
            if (now - time < upstream::drain_state::notice_ttl)
            {
                workers.push_back(worker);
            }
        }
    }

} // namespace

fleet::verdict_reply evidence_aggregator::on_report(
    const fleet::evidence_report& report, core::time_point now)
{
    this->record_drains(report, now);
    return this->aggregator.on_report(report, now)
        .with_draining(this->draining(report.get_service(), now));
}

fleet::evidence_report evidence_aggregator::summary(
    const core::service_id& service, core::time_point now)
{
    std::vector<core::worker_id> draining;
    if (const auto reported = this->drain_reports.find(service))
    {
        append_valid(reported->own_zone, now, draining);
    }
    return this->aggregator.summary(service, now)
        .with_draining(std::move(draining));
}

std::vector<core::worker_id> evidence_aggregator::draining(
    const core::service_id& service, core::time_point now) const
{
    std::vector<core::worker_id> draining;
    if (const auto reported = this->drain_reports.find(service))
    {
        append_valid(reported->own_zone, now, draining);
        append_valid(reported->other_zones, now, draining);
    }
    return draining;
}

void evidence_aggregator::record_drains(
    const fleet::evidence_report& report, core::time_point now)
{
    this->drain_reports.update(report.get_service(),
        [&](const std::optional<drain_report_times>& present) {
            drain_report_times next = present.value_or(drain_report_times());
            drop_expired(next.own_zone, now);
            drop_expired(next.other_zones, now);
            const bool is_daemon
                = report.get_level() == fleet::report_level::daemon;
            auto& target = is_daemon ? next.own_zone : next.other_zones;
            for (const core::worker_id& worker : report.get_draining())
            {
                target[worker] = now;
            }
            return std::optional(std::move(next));
        });
}

} // namespace pollenward::main
