#include "upstream/exchange_codec.hpp"

#include <boost/beast/http.hpp>

#include <chrono>
#include <sstream>
#include <utility>

namespace pollenward::upstream {

namespace {

    namespace http = boost::beast::http;

    std::int64_t to_unix_ms(core::time_point deadline)
    {
        const auto remaining = std::chrono::duration_cast<core::milliseconds>(
            deadline - core::runtime_clock::now());
        const auto wall = std::chrono::duration_cast<core::milliseconds>(
            std::chrono::system_clock::now().time_since_epoch());
        return (wall + remaining).count();
    }

} // namespace

bool is_connection_field(http::field name)
{
    switch (name)
    {
    case http::field::connection:
    case http::field::keep_alive:
    case http::field::proxy_connection:
    case http::field::transfer_encoding:
    case http::field::content_length:
    case http::field::te:
    case http::field::trailer:
    case http::field::upgrade:
    case http::field::expect:
        return true;
    default:
        return false;
    }
}

response_message to_message(const worker_response& incoming)
{
    core::header_fields headers;
    for (const auto& field : incoming)
    {
        if (!is_connection_field(field.name()))
        {
            headers.push_back(core::header_field::make(
                std::string(field.name_string()), std::string(field.value())));
        }
    }
    return response_message::make(incoming.result_int(), std::move(headers),
        core::shared_text::make(incoming.body()));
}

std::string native_worker_codec::encode_header(const forward_request& request,
    const core::worker_id& /*worker_id*/, const core::endpoint& remote)
{
    const request_message& message = request.get_message();
    http::request<http::empty_body> outgoing;
    outgoing.version(11);
    outgoing.method_string(message.get_method());
    outgoing.target(message.get_target());
    for (const auto& field : message.get_headers())
    {
        if (!is_connection_field(http::string_to_field(field.get_name())))
        {
            outgoing.insert(field.get_name(), field.get_value());
        }
    }
    outgoing.set(http::field::host, remote.str());
    outgoing.set("Request-Id", request.get_id().str());
    outgoing.set(
        "Request-Rank", std::string(core::to_string(request.get_rank())));
    outgoing.set("Request-Deadline-Unix-Ms",
        std::to_string(to_unix_ms(request.get_deadline())));
    outgoing.content_length(message.get_body().size());
    std::ostringstream text;
    text << outgoing.base();
    return text.str();
}

bool native_worker_codec::names_request(
    const worker_response& incoming, const core::request_id& id)
{
    return incoming["Request-Id"] == id.str();
}

exchange_result native_worker_codec::decode_response(
    const worker_response& incoming, const core::request_id& id,
    const core::endpoint& remote)
{
    const auto refused = [&](attempt_result result, const char* cause) {
        return exchange_result::failed(
            result, core::error::make("run request", remote.str(), cause));
    };
    const auto named = incoming.find("Request-Id");
    if (named != incoming.end() && named->value() != id.str())
    {
        return refused(attempt_result::broken_after_send,
            "the response belongs to another request");
    }
    const auto state = incoming["Worker-State"];
    const bool is_unavailable
        = incoming.result() == http::status::service_unavailable;
    if (is_unavailable && state == "shed")
    {
        return refused(
            attempt_result::refused_shed, "the worker is overloaded");
    }
    if (is_unavailable && state == "draining")
    {
        return refused(
            attempt_result::refused_draining, "the worker is draining");
    }
    if (incoming.result() == http::status::gateway_timeout
        && state == "expired")
    {
        return refused(attempt_result::refused_expired,
            "the deadline passed before the worker ran the request");
    }
    return exchange_result::answered(to_message(incoming));
}

} // namespace pollenward::upstream
