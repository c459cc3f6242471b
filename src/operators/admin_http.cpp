#include "operators/admin_http.hpp"

#include "core/runtime_timer.hpp"
#include "operators/configuration_json.hpp"
#include "operators/metrics_text.hpp"
#include "operators/patch_json.hpp"
#include "operators/status_json.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/beast/http.hpp>
#include <nlohmann/json.hpp>

#include <charconv>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

namespace pollenward::operators {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;

namespace {

    constexpr auto token = asio::as_tuple(asio::use_awaitable);
    /// A connection is closed if no complete request arrives within this time,
    /// or a response is not read.
    constexpr core::seconds idle_limit{ 60 };
    /// In bytes. Values in the store are up to 1 MB; no patch needs more.
    constexpr std::uint64_t body_limit = 1024UL * 1024;

    constexpr const char* json_type = "application/json";

    std::string_view to_view(boost::beast::string_view text)
    {
        return { text.data(), text.size() };
    }

    std::optional<std::uint64_t> parse_number(std::string_view text)
    {
        std::uint64_t number = 0;
        const char* end = text.data() + text.size();
        const auto parsed = std::from_chars(text.data(), end, number);
        return parsed.ec == std::errc() && parsed.ptr == end
            ? std::optional(number)
            : std::nullopt;
    }

    unsigned http_status_of(patch_outcome outcome)
    {
        switch (outcome)
        {
        case patch_outcome::accepted:
        case patch_outcome::already_applied:
            return 200;
        case patch_outcome::stale:
        case patch_outcome::ambiguous:
            return 409;
        case patch_outcome::invalid:
            return 422;
        case patch_outcome::unavailable:
            return 503;
        case patch_outcome::unknown:
            break;
        }
        return 504;
    }

} // namespace

admin_resource find_admin_resource(const admin_request& request)
{
    const std::string_view target = to_view(request.target());
    const std::string_view path = target.substr(0, target.find('?'));
    const auto only = [&](http::verb verb, admin_resource resource) {
        return request.method() == verb ? resource
                                        : admin_resource::wrong_method;
    };
    if (path == "/patch")
    {
        return only(http::verb::post, admin_resource::patch);
    }
    if (path == "/status")
    {
        return only(http::verb::get, admin_resource::status);
    }
    if (path == "/metrics")
    {
        return only(http::verb::get, admin_resource::metrics);
    }
    if (path == "/configuration")
    {
        return only(http::verb::get, admin_resource::configuration);
    }
    return path == "/ready" ? only(http::verb::get, admin_resource::ready)
                            : admin_resource::none;
}

std::optional<patch> parse_patch_request(
    const admin_request& request, core::error& reason)
{
    const auto id = to_view(request["Patch-Id"]);
    const auto version = to_view(request["Patch-Version"]);
    if (id.empty() && version.empty())
    {
        return decode_patch_message(request.body(), reason);
    }
    const auto number = parse_number(version);
    if (!number)
    {
        reason = core::error::make(
            "read patch", "Patch-Version", "is not a configuration number");
        return std::nullopt;
    }
    return decode_patch(core::patch_id(std::string(id)),
        core::version_number(*number), request.body(), reason);
}

admin_response respond(unsigned status, const char* type, std::string body)
{
    admin_response response;
    response.result(status);
    response.set(http::field::content_type, type);
    response.body() = std::move(body);
    return response;
}

admin_response respond_error(unsigned status, const core::error& cause)
{
    return respond(status, json_type,
        nlohmann::json{ { "step", cause.get_step() },
            { "peer", cause.get_peer() }, { "cause", cause.get_cause() } }
            .dump());
}

admin_response respond_reply(const patch_reply& reply)
{
    return respond(
        http_status_of(reply.get_outcome()), json_type, encode_reply(reply));
}

admin_response respond_status(const fleet_status& status)
{
    return respond(200, json_type, encode_status(status));
}

admin_response respond_metrics(const metrics_snapshot& metrics)
{
    return respond(200, "text/plain; version=0.0.4", encode_metrics(metrics));
}

admin_response respond_configuration(const std::optional<configuration>& value)
{
    if (!value)
    {
        return respond_error(404,
            core::error::make("read configuration", "self",
                "no configuration is in force yet"));
    }
    return respond(200, json_type, encode_configuration(*value));
}

admin_response respond_ready(bool is_ready)
{
    return is_ready ? respond(200, "text/plain", "ready\n")
                    : respond(503, "text/plain", "not ready\n");
}

asio::awaitable<std::optional<admin_request>> read_request(
    tcp::socket& socket, boost::beast::flat_buffer& buffer)
{
    http::request_parser<http::string_body> incoming;
    incoming.body_limit(body_limit);
    const auto done = co_await core::with_deadline(
        http::async_read(socket, buffer, incoming, token),
        core::runtime_clock::now() + idle_limit);
    if (!done || std::get<0>(*done))
    {
        co_return std::nullopt;
    }
    co_return incoming.release();
}

asio::awaitable<bool> write_response(tcp::socket& socket,
    admin_response response, unsigned version, bool is_persistent)
{
    response.version(version);
    response.keep_alive(is_persistent);
    response.prepare_payload();
    const auto done = co_await core::with_deadline(
        http::async_write(socket, response, token),
        core::runtime_clock::now() + idle_limit);
    co_return is_persistent&& done && !std::get<0>(*done);
}

} // namespace pollenward::operators
