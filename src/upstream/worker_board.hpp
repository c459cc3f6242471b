#pragma once

#include "core/ids.hpp"
#include "core/runtime_clock.hpp"
#include "core/sharded_map.hpp"
#include "upstream/latency_profile.hpp"
#include "upstream/listed_worker.hpp"
#include "upstream/path_failure_tracker.hpp"
#include "upstream/worker_outlook.hpp"
#include "upstream/worker_placement.hpp"
#include "upstream/worker_traffic.hpp"
#include "upstream/zone_map.hpp"

#include <atomic>
#include <cstdint>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

namespace pollenward::upstream {

using named_traffic = std::pair<core::worker_id, worker_traffic>;
using named_latencies = std::pair<core::service_id, latency_sums>;

/// What this daemon knows of the workers: the platform's list, its own sends,
/// and those that the other daemons of its zone told of. Any thread may call
/// any function.
class worker_board {
public:
    using shared_workers = std::shared_ptr<const std::vector<listed_worker>>;

    explicit worker_board(zone_map zones, gray_failure_model model = {});

    /// Replaces the workers of all services.
    void store_listed(const std::vector<listed_worker>& listed);

    /// The workers of a service; empty if the service is not known.
    shared_workers find(const core::service_id& service) const;
    std::size_t count_listed() const { return this->listed_count.load(); }

    /// The workers that may get a request of the service, but for `left_out`.
    placement_candidates candidates(const core::service_id& service,
        const std::vector<core::worker_id>& left_out,
        core::time_point now) const;

    /// Requests that workers likely to answer could start at once.
    double free_slots(
        const core::service_id& service, core::time_point now) const;

    latency_profile profile(const core::service_id& service) const;

    /// Notes a send; its end is noted once with the time that is returned.
    void begin(const core::worker_id& who, core::time_point now);
    void end(const core::service_id& service, const core::worker_id& who,
        core::time_point sent_at, std::optional<trace_state> state,
        core::time_point now);
    void note_load(const core::worker_id& who, const load_hint& load);
    /// Whether the daemon's own path to the worker works.
    void note_path(const core::service_id& service, const core::worker_id& who,
        attempt_result result, core::time_point now);
    /// Another worker has the address: not used until the list changes.
    void note_gone(const core::worker_id& who);

    /// This daemon's own sends, for the other daemons of the zone.
    std::vector<named_traffic> own_traffic(core::time_point now);
    /// The latencies seen since the last call.
    std::vector<named_latencies> take_latencies();
    /// Whether there is anything new to tell since the last call.
    bool take_activity();

    /// Replaces what the other daemons of the zone told.
    void store_zone_traffic(std::vector<named_traffic> traffic);
    void store_zone_latencies(const std::vector<named_latencies>& latencies);

private:
    worker_traffic traffic_of(
        const core::worker_id& who, core::time_point now) const;

    zone_map zones;
    gray_failure_model model;
    core::sharded_map<core::service_id, shared_workers> listed;
    std::atomic<std::size_t> listed_count{ 0 };
    core::sharded_map<core::worker_id, worker_traffic> own;
    core::sharded_map<core::worker_id, worker_traffic> zone;
    core::sharded_map<core::service_id, latency_sums> fresh_latencies;
    core::sharded_map<core::service_id, latency_sums> latencies;
    core::sharded_map<core::worker_id, bool> gone;
    path_failure_tracker paths;
    std::atomic<bool> has_activity{ false };
};

} // namespace pollenward::upstream
