#pragma once

#include "soak/http_endpoint.hpp"
#include "soak/soak_time.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <optional>

namespace pollenward::hostile {

/// Sends the request on a new connection. Nothing if the connection ended
/// without an answer or none came within `limit`.
boost::asio::awaitable<std::optional<soak::http_response>> exchange(
    boost::asio::ip::tcp::endpoint server, const soak::http_request& request,
    soak::seconds limit);

} // namespace pollenward::hostile
