#pragma once

#include "core/ids.hpp"
#include "core/sharded_map.hpp"
#include "upstream/worker.hpp"

#include <optional>
#include <utility>
#include <vector>

namespace pollenward::upstream {

/// The workers of each service, as last listed by the platform.
class worker_directory {
public:
    void store(const core::service_id& service, std::vector<worker> workers)
    {
        this->workers.store(service, std::move(workers));
    }

    /// The workers of a service; empty if the service is unknown.
    std::vector<worker> find(const core::service_id& service) const
    {
        return this->workers.find(service).value_or(std::vector<worker>{});
    }

private:
    core::sharded_map<core::service_id, std::vector<worker>> workers;
};

} // namespace pollenward::upstream
