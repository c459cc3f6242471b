#pragma once

#include "core/endpoint.hpp"
#include "core/error.hpp"
#include "operators/configuration.hpp"
#include "operators/fleet_status.hpp"
#include "operators/metrics_snapshot.hpp"
#include "operators/patch.hpp"
#include "operators/patch_reply.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <cstddef>
#include <optional>
#include <string>

namespace pollenward::operators {

using admin_request
    = boost::beast::http::request<boost::beast::http::string_body>;
using admin_response
    = boost::beast::http::response<boost::beast::http::string_body>;

/// Resource that a request to the admin server addresses.
enum class admin_resource {
    status,
    metrics,
    configuration,
    ready,
    patch,
    none,
    wrong_method
};

/// Bytes of a connection that are read and not parsed yet.
inline constexpr std::size_t max_admin_buffer_bytes = 32768;

admin_resource find_admin_resource(const admin_request& request);

/// Reads a patch from the headers Patch-Id and Patch-Version with the merge
/// patch as body or, if both headers are absent, from a body of the form
/// {"id", "number", "patch"}.
std::optional<patch> parse_patch_request(
    const admin_request& request, core::error& reason);

admin_response respond(unsigned status, const char* type, std::string body);
admin_response respond_error(unsigned status, const core::error& cause);
admin_response respond_reply(const patch_reply& reply);
admin_response respond_status(const fleet_status& status);
admin_response respond_metrics(const metrics_snapshot& metrics);
admin_response respond_configuration(const std::optional<configuration>& value);
admin_response respond_ready(bool is_ready);

/// Reads the next request of a connection; nothing if the read failed or timed
/// out.
boost::asio::awaitable<std::optional<admin_request>> read_request(
    boost::asio::ip::tcp::socket& socket, boost::beast::flat_buffer& buffer);

/// Writes a response; false if the connection must be closed, also because the
/// peer has not read it in time.
boost::asio::awaitable<bool> write_response(
    boost::asio::ip::tcp::socket& socket, admin_response response,
    unsigned version, bool is_persistent);

} // namespace pollenward::operators
