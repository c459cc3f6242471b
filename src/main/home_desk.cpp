#include "main/home_desk.hpp"

#include "upstream/drain_state.hpp"

#include <optional>
#include <utility>

namespace pollenward::main {

namespace {

    using word_times = std::map<core::worker_id, core::time_point>;

    void drop_expired(word_times& words, core::time_point now)
    {
        std::erase_if(words, [&](const auto& entry) {
            return now - entry.second >= upstream::drain_state::notice_ttl;
        });
    }

    void append_valid(const word_times& words, core::time_point now,
        std::vector<core::worker_id>& workers)
    {
        for (const auto& [worker, time] : words)
        {
            if (now - time < upstream::drain_state::notice_ttl)
            {
                workers.push_back(worker);
            }
        }
    }

} // namespace

fleet::verdict_reply home_desk::on_report(
    const fleet::evidence_report& report, core::time_point now)
{
    this->note_drains(report, now);
    return this->homes.on_report(report, now)
        .with_draining(this->draining(report.get_service(), now));
}

fleet::evidence_report home_desk::summary(
    const core::service_id& service, core::time_point now)
{
    std::vector<core::worker_id> draining;
    if (const auto known = this->words.find(service))
    {
        append_valid(known->own_zone, now, draining);
    }
    return this->homes.summary(service, now).with_draining(std::move(draining));
}

std::vector<core::worker_id> home_desk::draining(
    const core::service_id& service, core::time_point now) const
{
    std::vector<core::worker_id> draining;
    if (const auto known = this->words.find(service))
    {
        append_valid(known->own_zone, now, draining);
        append_valid(known->other_zones, now, draining);
    }
    return draining;
}

void home_desk::note_drains(
    const fleet::evidence_report& report, core::time_point now)
{
    this->words.update(
        report.get_service(), [&](const std::optional<drain_words>& present) {
            drain_words next = present.value_or(drain_words());
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
