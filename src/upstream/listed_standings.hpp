#pragma once

#include "upstream/attempt_result.hpp"
#include "upstream/forward_request.hpp"
#include "upstream/worker_directory.hpp"
#include "upstream/worker_standing.hpp"

#include <vector>

namespace pollenward::upstream {

/// Every listed worker is active. For a daemon without a verdict on any.
class listed_standings {
public:
    explicit listed_standings(const worker_directory& directory)
        : directory(directory)
    {
    }

    std::vector<worker_standing> find(const core::service_id& service) const
    {
        std::vector<worker_standing> found;
        for (const worker& each : this->directory.find(service))
        {
            found.push_back(
                worker_standing::make(each, worker_state::active, 1));
        }
        return found;
    }

private:
    const worker_directory& directory;
};

/// Takes evidence and crashes and keeps none.
class no_observer {
public:
    void record(const core::service_id& /*service*/,
        const core::worker_id& /*who*/, attempt_result /*result*/,
        core::duration /*latency*/, core::time_point /*now*/)
    {
    }

    void on_crash(
        const forward_request& /*request*/, const core::worker_id& /*who*/)
    {
    }
};

} // namespace pollenward::upstream
