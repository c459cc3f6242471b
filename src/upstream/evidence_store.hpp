#pragma once

#include "core/ids.hpp"
#include "core/runtime_clock.hpp"
#include "core/sharded_map.hpp"
#include "upstream/evidence_counts.hpp"
#include "upstream/evidence_window.hpp"

#include <compare>
#include <cstddef>
#include <functional>
#include <utility>
#include <vector>

namespace pollenward::upstream {

/// Identifies a worker within a service.
class worker_key {
public:
    static worker_key make(core::service_id service, core::worker_id worker)
    {
        worker_key made;
        made.service = std::move(service);
        made.worker = std::move(worker);
        return made;
    }

    const core::service_id& get_service() const { return this->service; }
    const core::worker_id& get_worker() const { return this->worker; }

    auto operator<=>(const worker_key&) const = default;

private:
    core::service_id service;
    core::worker_id worker;
};

/// The counts of one worker at the time of collection.
class worker_evidence {
public:
    static worker_evidence make(worker_key key, evidence_counts counts)
    {
        worker_evidence made;
        made.key = std::move(key);
        made.counts = counts;
        return made;
    }

    const core::service_id& get_service() const
    {
        return this->key.get_service();
    }

    const core::worker_id& get_worker() const { return this->key.get_worker(); }
    const evidence_counts& get_counts() const { return this->counts; }

    auto operator<=>(const worker_evidence&) const = default;

private:
    worker_key key;
    evidence_counts counts;
};

} // namespace pollenward::upstream

template <>
struct std::hash<pollenward::upstream::worker_key> {
    std::size_t operator()(
        const pollenward::upstream::worker_key& key) const noexcept
    {
        // Odd multiplier so that equal service and worker ids do not cancel.
        return std::hash<pollenward::core::service_id>{}(key.get_service()) * 31
            + std::hash<pollenward::core::worker_id>{}(key.get_worker());
    }
};

namespace pollenward::upstream {

/// The results of this daemon's attempts on all workers. Thread-safe.
class evidence_store {
public:
    void record(const core::service_id& service, const core::worker_id& worker,
        bool is_failure, core::time_point now);

    /// The counts of all workers with recent traffic, sorted by service and
    /// worker, for the reports to the aggregators. Erases workers without
    /// traffic for about a minute. One pass covers all services: with 300
    /// services, a pass per service would visit each worker 300 times.
    std::vector<worker_evidence> collect(core::time_point now);

private:
    core::sharded_map<worker_key, evidence_window> windows;
};

} // namespace pollenward::upstream
