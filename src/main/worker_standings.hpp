#pragma once

#include "core/ids.hpp"
#include "core/sharded_map.hpp"
#include "main/configuration_in_force.hpp"
#include "upstream/attempt_result.hpp"
#include "upstream/drain_state.hpp"
#include "upstream/evidence_store.hpp"
#include "upstream/path_failure_tracker.hpp"
#include "upstream/received_verdict.hpp"
#include "upstream/usable_worker.hpp"
#include "upstream/worker_directory.hpp"

#include <vector>

namespace pollenward::main {

/// Determines which workers this daemon may use: the platform's list, the
/// verdicts of the aggregators, drains and local avoidance, with the floor
/// applied. Also records the evidence of attempts.
class worker_standings {
public:
    worker_standings(const configuration_in_force& configuration,
        const upstream::worker_directory& workers)
        : configuration(configuration)
        , workers(workers)
    {
    }

    /// Workers that may get requests; for upstream::standings_source.
    std::vector<upstream::usable_worker> find(
        const core::service_id& service) const;

    /// Records the result of an attempt; for upstream::evidence_sink.
    void record(const core::service_id& service, const core::worker_id& worker,
        upstream::attempt_result result, core::duration latency,
        core::time_point now);

    /// Replaces the verdicts on the workers of a service.
    void store_verdicts(const core::service_id& service,
        const std::vector<upstream::verdict>& decided, core::time_point now);

    /// Number of ejected workers before the floor is applied.
    std::size_t count_ejected(
        const core::service_id& service, core::time_point now) const;

    void record_drain(const core::worker_id& worker,
        upstream::drain_source source, core::time_point now);

    /// Workers of the service that any source reports as leaving.
    std::vector<core::worker_id> draining(
        const core::service_id& service, core::time_point now) const;

    /// Workers of the service that reported to this daemon that they leave.
    std::vector<core::worker_id> drains_reported_by_workers(
        const core::service_id& service, core::time_point now) const;

    /// True if there was a failure since the last call.
    bool test_and_clear_failure(const core::service_id& service);

    upstream::evidence_store& get_evidence() { return this->evidence; }

private:
    const configuration_in_force& configuration;
    const upstream::worker_directory& workers;
    upstream::evidence_store evidence;
    upstream::path_failure_tracker avoidance;
    core::sharded_map<core::service_id, std::vector<upstream::received_verdict>>
        verdicts;
    core::sharded_map<core::worker_id, upstream::drain_state> drains;
    core::sharded_map<core::service_id, bool> failures;
};

} // namespace pollenward::main
