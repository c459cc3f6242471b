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

/// This daemon's own view of the workers: the platform's list, the verdicts of
/// its homes, drains, and what it avoids itself, with the floor applied. Also
/// takes the evidence of attempts.
class worker_standings {
public:
    worker_standings(const configuration_in_force& configuration,
        const upstream::worker_directory& workers)
        : configuration(configuration)
        , workers(workers)
    {
    }

    /// Workers that may get work, as upstream::standings_source asks for them.
    std::vector<upstream::usable_worker> find(
        const core::service_id& service) const;

    /// Takes the result of an attempt, as an upstream::evidence_sink.
    void record(const core::service_id& service, const core::worker_id& who,
        upstream::attempt_result result, core::duration latency,
        core::time_point now);

    /// Takes the verdicts of a home.
    void store_verdicts(const core::service_id& service,
        const std::vector<upstream::verdict>& decided, core::time_point now);

    /// Workers that the homes have ejected, before the floor is applied.
    std::size_t count_ejected(
        const core::service_id& service, core::time_point now) const;

    void note_drain(const core::worker_id& worker,
        upstream::drain_source source, core::time_point now);

    /// Workers of the service that anyone saw leave.
    std::vector<core::worker_id> draining(
        const core::service_id& service, core::time_point now) const;

    /// Workers of the service that told this daemon that they are leaving.
    std::vector<core::worker_id> own_drains(
        const core::service_id& service, core::time_point now) const;

    /// True once after each failure since the last call.
    bool take_failure(const core::service_id& service);

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
