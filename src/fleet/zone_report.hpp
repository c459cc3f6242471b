#pragma once

#include "core/ids.hpp"
#include "core/runtime_clock.hpp"
#include "upstream/latency_profile.hpp"
#include "upstream/worker_traffic.hpp"

#include <compare>
#include <cstdint>
#include <optional>
#include <utility>
#include <vector>

namespace pollenward::fleet {

/// A request that was sent to a worker. It has an age instead of a time, since
/// the clocks of two daemons are not comparable.
class send_sample_summary {
public:
    static send_sample_summary make(
        core::milliseconds age, upstream::sample_state state)
    {
        send_sample_summary made;
        made.age = age;
        made.state = state;
        return made;
    }

    core::milliseconds get_age() const { return this->age; }
    upstream::sample_state get_state() const { return this->state; }

    auto operator<=>(const send_sample_summary&) const = default;

private:
    core::milliseconds age{};
    upstream::sample_state state = upstream::sample_state::waiting;
};

/// The load that a worker reported, and the age of that report.
class load_summary {
public:
    static load_summary make(
        core::milliseconds age, double running, double waiting)
    {
        load_summary made;
        made.age = age;
        made.running = running;
        made.waiting = waiting;
        return made;
    }

    core::milliseconds get_age() const { return this->age; }
    double get_running() const { return this->running; }
    double get_waiting() const { return this->waiting; }

    auto operator<=>(const load_summary&) const = default;

private:
    core::milliseconds age{};
    double running = 0;
    double waiting = 0;
};

/// The requests a second that a worker stated to accept, and the age of that
/// statement.
class rate_summary {
public:
    static rate_summary make(
        core::milliseconds age, std::optional<double> per_second)
    {
        rate_summary made;
        made.age = age;
        made.per_second = per_second;
        return made;
    }

    core::milliseconds get_age() const { return this->age; }
    /// Nothing if the worker stated that it has no limit any more.
    const std::optional<double>& get_per_second() const
    {
        return this->per_second;
    }

    auto operator<=>(const rate_summary&) const = default;

private:
    core::milliseconds age{};
    std::optional<double> per_second;
};

/// The requests that one or more daemons recently sent to a worker.
class worker_summary {
public:
    static worker_summary make(core::worker_id worker,
        std::vector<send_sample_summary> samples, std::uint64_t in_flight,
        std::optional<load_summary> load)
    {
        worker_summary made;
        made.worker = std::move(worker);
        made.samples = std::move(samples);
        made.in_flight = in_flight;
        made.load = load;
        return made;
    }

    worker_summary with_rate(const rate_summary& stated) const
    {
        worker_summary next = *this;
        next.rate = stated;
        return next;
    }

    static worker_summary of(const core::worker_id& worker,
        const upstream::worker_traffic& traffic, core::time_point now);

    const core::worker_id& get_worker() const { return this->worker; }
    const std::vector<send_sample_summary>& get_samples() const
    {
        return this->samples;
    }
    std::uint64_t get_in_flight() const { return this->in_flight; }
    const std::optional<load_summary>& get_load() const { return this->load; }
    /// Nothing if the worker never stated a limit.
    const std::optional<rate_summary>& get_rate() const { return this->rate; }

    upstream::worker_traffic to_traffic(core::time_point now) const;

    auto operator<=>(const worker_summary&) const = default;

private:
    core::worker_id worker;
    std::vector<send_sample_summary> samples;
    std::uint64_t in_flight = 0;
    std::optional<load_summary> load;
    std::optional<rate_summary> rate;
};

/// Latencies of the answers of a service.
class service_latencies {
public:
    static service_latencies make(
        core::service_id service, upstream::latency_sums sums)
    {
        service_latencies made;
        made.service = std::move(service);
        made.sums = sums;
        return made;
    }

    const core::service_id& get_service() const { return this->service; }
    const upstream::latency_sums& get_sums() const { return this->sums; }

    auto operator<=>(const service_latencies&) const = default;

private:
    core::service_id service;
    upstream::latency_sums sums;
};

/// A daemon's recent traffic to workers, sent to the aggregator of its zone. It
/// covers the last seconds as a whole, so that the next report replaces a lost
/// one. Latencies are those since the last report.
class zone_report {
public:
    static zone_report make(core::daemon_id source,
        std::vector<worker_summary> workers,
        std::vector<service_latencies> latencies)
    {
        zone_report made;
        made.source = std::move(source);
        made.workers = std::move(workers);
        made.latencies = std::move(latencies);
        return made;
    }

    const core::daemon_id& get_source() const { return this->source; }
    const std::vector<worker_summary>& get_workers() const
    {
        return this->workers;
    }
    const std::vector<service_latencies>& get_latencies() const
    {
        return this->latencies;
    }

    auto operator<=>(const zone_report&) const = default;

private:
    core::daemon_id source;
    std::vector<worker_summary> workers;
    std::vector<service_latencies> latencies;
};

/// The reply to a report: the traffic of the other daemons of the zone, and the
/// latencies of all of them.
class zone_view {
public:
    static zone_view make(std::vector<worker_summary> workers,
        std::vector<service_latencies> latencies)
    {
        zone_view made;
        made.workers = std::move(workers);
        made.latencies = std::move(latencies);
        return made;
    }

    const std::vector<worker_summary>& get_workers() const
    {
        return this->workers;
    }
    const std::vector<service_latencies>& get_latencies() const
    {
        return this->latencies;
    }

    auto operator<=>(const zone_view&) const = default;

private:
    std::vector<worker_summary> workers;
    std::vector<service_latencies> latencies;
};

} // namespace pollenward::fleet
