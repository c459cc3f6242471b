#pragma once

#include "upstream/dispatch_result.hpp"
#include "upstream/forward_request.hpp"
#include "upstream/worker_directory.hpp"

#include <boost/asio/awaitable.hpp>

namespace pollenward::upstream {

/// Sends requests to workers.
class dispatcher {
public:
    explicit dispatcher(const worker_directory& directory)
        : directory(directory)
    {
    }

    /// Runs the request on one of the service's workers.
    boost::asio::awaitable<dispatch_result> dispatch(
        const forward_request& request);

private:
    const worker_directory& directory;
};

} // namespace pollenward::upstream
