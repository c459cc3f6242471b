#pragma once

#include "core/ids.hpp"
#include "core/runtime_clock.hpp"
#include "core/sharded_map.hpp"
#include "core/sharded_snapshot.hpp"
#include "upstream/fault_estimate.hpp"
#include "upstream/latency_profile.hpp"
#include "upstream/listed_worker.hpp"
#include "upstream/path_failure_tracker.hpp"
#include "upstream/worker_notices.hpp"
#include "upstream/worker_placement.hpp"
#include "upstream/worker_traffic.hpp"
#include "upstream/zone_map.hpp"

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

namespace pollenward::upstream {

using named_traffic = std::pair<core::worker_id, worker_traffic>;
using named_latencies = std::pair<core::service_id, latency_sums>;

/// The state that workers are chosen by: the platform's list of workers, this
/// daemon's own sends, and those that the other daemons of its zone reported.
/// All functions are thread-safe.
class placement_state {
public:
    using shared_workers = std::shared_ptr<const std::vector<listed_worker>>;

    explicit placement_state(zone_map zones, gray_failure_model model = {});

    /// Replaces the workers of all services.
    void store_listed(const std::vector<listed_worker>& listed);

    /// The workers of a service; empty if the service is unknown.
    shared_workers find(const core::service_id& service) const;
    std::size_t count_listed() const { return this->listed_count.load(); }

    /// The workers that may get a request of the service, without `left_out`.
    placement_candidates candidates(const core::service_id& service,
        const std::vector<core::worker_id>& left_out,
        core::time_point now) const;

    /// Requests that the workers with a low loss could start at once.
    double free_slots(
        const core::service_id& service, core::time_point now) const;

    latency_profile profile(const core::service_id& service) const;

    /// Records a send. Its end must be recorded once, with `now` as `sent_at`.
    void record_send(const worker& target, core::time_point now);
    void record_send_end(const core::service_id& service,
        const core::worker_id& who, core::time_point sent_at,
        std::optional<sample_state> state, core::time_point now);
    void record_load(const core::worker_id& who, const load_hint& load);
    /// Records whether the last answer of a worker stated a limit.
    void record_rate(const core::worker_id& who,
        std::optional<double> per_second, core::time_point now);
    /// Replaces the daemons among which the limits of workers are divided.
    void store_daemons(const core::daemon_id& self,
        std::map<core::zone_id, std::vector<core::daemon_id>> by_zone);
    /// Records whether the network path from this daemon to the worker works.
    void record_path_result(const core::service_id& service,
        const core::worker_id& who, attempt_result result,
        core::time_point now);
    /// Sends no more requests to a worker that is draining or whose address
    /// belongs to another worker, as long as it is listed.
    void exclude_worker(const core::worker_id& who);

    /// What workers say of themselves in their answers.
    worker_notices& get_notices() { return this->notices; }
    const worker_notices& get_notices() const { return this->notices; }

    /// The shortest pause of the workers that may get a request of the service
    /// otherwise; nothing unless all of them pause.
    std::optional<core::duration> shortest_pause(
        const core::service_id& service, core::time_point now) const;

    /// This daemon's own sends, to be reported to the other daemons of the
    /// zone.
    std::vector<named_traffic> own_traffic(core::time_point now);
    /// The latencies recorded since the last call.
    std::vector<named_latencies> take_latencies();
    /// Whether a send began or ended since the last call.
    bool test_and_clear_activity();

    /// Replaces the sends that the other daemons of the zone reported.
    void store_zone_traffic(std::vector<named_traffic> traffic);
    void store_zone_latencies(const std::vector<named_latencies>& latencies);

private:
    /// The daemons that may send to a worker with a limit.
    struct sending_daemons {
        core::daemon_id self;
        std::map<core::zone_id, std::vector<core::daemon_id>> by_zone;
    };

    /// Nothing if other daemons use the limit of the worker.
    std::optional<core::duration> send_interval_of(
        const worker& target, double per_second) const;
    bool may_send(
        const worker& target, double per_second, core::time_point now) const;
    /// Delays this daemon's next send to a worker with a limit.
    void pace_sends(const worker& target, core::time_point now);
    /// Whether the worker is listed to get requests and does not leave.
    bool is_serving(const listed_worker& each) const;
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
    core::sharded_map<core::worker_id, bool> excluded;
    core::sharded_snapshot<sending_daemons> daemons{ sending_daemons() };
    /// When this daemon may send to a worker with a limit again.
    core::sharded_map<core::worker_id, core::time_point> next_sends;
    path_failure_tracker paths;
    worker_notices notices;
    std::atomic<bool> has_activity{ false };
};

} // namespace pollenward::upstream
