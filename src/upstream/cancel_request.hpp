#pragma once

#include "core/endpoint.hpp"
#include "core/ids.hpp"

#include <boost/asio/any_io_executor.hpp>

namespace pollenward::upstream {

/// Tells a worker on a connection of its own to give up a request. It is a
/// hint: nothing waits for it, and it ends after a second.
void spawn_cancel(const boost::asio::any_io_executor& executor,
    const core::endpoint& remote, const core::request_id& id);

} // namespace pollenward::upstream
