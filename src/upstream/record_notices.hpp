#pragma once

#include "core/ids.hpp"
#include "core/runtime_clock.hpp"
#include "upstream/exchange_result.hpp"
#include "upstream/listed_worker.hpp"
#include "upstream/worker_notices.hpp"

namespace pollenward::upstream {

/// Records and logs what a worker said of itself with the result of a request.
void record_notices(worker_notices& notices, const core::request_id& request,
    const listed_worker& who, const exchange_result& result,
    core::time_point now);

} // namespace pollenward::upstream
