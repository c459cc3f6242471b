#pragma once

#include "core/endpoint.hpp"
#include "core/runtime_clock.hpp"
#include "upstream/dispatch_result.hpp"

#include <boost/asio/awaitable.hpp>

#include <optional>
#include <string>

namespace pollenward::upstream {

/// Makes one control call to a worker (probe, load report, cancellation) on a
/// separate connection. Nothing if it did not complete by the deadline. Must be
/// awaited on a strand.
boost::asio::awaitable<std::optional<response_message>> call_worker(
    core::endpoint remote, std::string method, std::string target,
    core::time_point deadline);

} // namespace pollenward::upstream
