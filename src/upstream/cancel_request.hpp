#pragma once

#include "core/endpoint.hpp"
#include "core/ids.hpp"

#include <boost/asio/any_io_executor.hpp>

namespace pollenward::upstream {

/// Asks a worker, on a separate connection, to cancel a request. It is a hint:
/// nothing waits for its result, and it times out after one second.
void spawn_cancel(const boost::asio::any_io_executor& executor,
    const core::endpoint& remote, const core::request_id& id);

} // namespace pollenward::upstream
