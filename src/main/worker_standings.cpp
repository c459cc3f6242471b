#include "main/worker_standings.hpp"

#include "upstream/floor.hpp"

#include <algorithm>

namespace pollenward::main {

std::vector<upstream::usable_worker> worker_standings::find(
    const core::service_id& service) const
{
    const auto now = core::runtime_clock::now();
    const auto settings = this->configuration.find_service(service);
    const auto stored = this->verdicts.find(service);
    return upstream::usable_workers(this->workers.find(service),
        stored.value_or(std::vector<upstream::received_verdict>()),
        this->draining(service, now), this->avoidance.avoided(service, now),
        settings ? settings->get_floor() : 1, now);
}

void worker_standings::record(const core::service_id& service,
    const core::worker_id& worker, upstream::attempt_result result,
    core::duration /*latency*/, core::time_point now)
{
    this->avoidance.record(service, worker, result, now);
    if (result == upstream::attempt_result::refused_draining)
    {
        this->record_drain(worker, upstream::drain_source::worker_reply, now);
    }
    // The dispatcher reports answers with status 500 or more as failures.
    constexpr unsigned no_status = 0;
    const auto shown = upstream::evidence_of(result, no_status);
    if (shown == upstream::evidence_kind::none)
    {
        return;
    }
    const bool is_failure = shown == upstream::evidence_kind::failure;
    this->evidence.record(service, worker, is_failure, now);
    if (is_failure)
    {
        this->failures.store(service, true);
    }
}

void worker_standings::store_verdicts(const core::service_id& service,
    const std::vector<upstream::verdict>& decided, core::time_point now)
{
    this->verdicts.store(
        service, upstream::make_received_verdicts(decided, now));
}

std::size_t worker_standings::count_ejected(
    const core::service_id& service, core::time_point now) const
{
    const auto stored = this->verdicts.find(service).value_or(
        std::vector<upstream::received_verdict>());
    return static_cast<std::size_t>(std::count_if(stored.begin(), stored.end(),
        [&](const upstream::received_verdict& each) {
            return each.at(now).get_state() == upstream::worker_state::ejected;
        }));
}

void worker_standings::record_drain(const core::worker_id& worker,
    upstream::drain_source source, core::time_point now)
{
    this->drains.update(
        worker, [&](const std::optional<upstream::drain_state>& present) {
            return std::optional(present.value_or(upstream::drain_state())
                                     .with_notice(source, now));
        });
}

std::vector<core::worker_id> worker_standings::draining(
    const core::service_id& service, core::time_point now) const
{
    std::vector<core::worker_id> leaving;
    for (const upstream::worker& each : this->workers.find(service))
    {
        const auto state = this->drains.find(each.get_id());
        if (upstream::is_leaving(each.is_leaving(), state, now))
        {
            leaving.push_back(each.get_id());
        }
    }
    return leaving;
}

std::vector<core::worker_id> worker_standings::drains_reported_by_workers(
    const core::service_id& service, core::time_point now) const
{
    std::vector<core::worker_id> leaving;
    for (const upstream::worker& each : this->workers.find(service))
    {
        const auto state = this->drains.find(each.get_id());
        if (state && state->is_reported_by_worker(now))
        {
            leaving.push_back(each.get_id());
        }
    }
    return leaving;
}

bool worker_standings::test_and_clear_failure(const core::service_id& service)
{
    return this->failures.extract(service).has_value();
}

} // namespace pollenward::main
