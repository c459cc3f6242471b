#pragma once

#include "upstream/attempt_result.hpp"
#include "upstream/forward_request.hpp"
#include "upstream/usable_worker.hpp"
#include "upstream/worker_directory.hpp"

#include <vector>

namespace pollenward::upstream {

/// Provides every listed worker as active, for a daemon without verdicts.
class listed_worker_source {
public:
    explicit listed_worker_source(const worker_directory& directory)
        : directory(directory)
    {
    }

    std::vector<usable_worker> find(const core::service_id& service) const
    {
        std::vector<usable_worker> found;
        for (const worker& each : this->directory.find(service))
        {
            found.push_back(usable_worker::make(each, worker_state::active, 1));
        }
        return found;
    }

private:
    const worker_directory& directory;
};

/// Discards evidence and crashes.
class null_observer {
public:
    void record(const core::service_id& /*service*/,
        const core::worker_id& /*who*/, attempt_result /*result*/,
        core::duration /*latency*/, core::time_point /*now*/)
    {
    }

    void on_crash(const forward_request& /*request*/,
        const core::worker_id& /*who*/, core::time_point /*started_at*/,
        core::time_point /*ended_at*/)
    {
    }
};

} // namespace pollenward::upstream
