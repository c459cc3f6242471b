#include "caller/http_message.hpp"

#include "caller/request_form.hpp"

#include <boost/asio/error.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/rfc7230.hpp>

#include <algorithm>
#include <array>
#include <chrono>
#include <string>

namespace pollenward::caller {

namespace http = boost::beast::http;

namespace {

    constexpr const char* id_field = "Request-Id";
    constexpr const char* timeout_field = "Request-Timeout-Ms";
    constexpr const char* account_field = "Client-Account";

    /// Fields that the daemon sets for workers. A caller must not set them.
    constexpr std::array<boost::beast::string_view, 4> daemon_fields
        = { id_field, timeout_field, "Request-Deadline-Unix-Ms",
              "Request-Rank" };

    /// True for fields that concern one connection or that are set anew.
    bool is_hop_by_hop(http::field name)
    {
        using http::field;
        constexpr std::array fields = { field::connection, field::keep_alive,
            field::proxy_connection, field::te, field::trailer,
            field::transfer_encoding, field::upgrade, field::content_length,
            field::host, field::expect };
        return std::find(fields.begin(), fields.end(), name) != fields.end();
    }

    bool is_forwarded(
        const http_request& message, const http_request::value_type& field)
    {
        const auto is_name = [&](boost::beast::string_view name) {
            return boost::beast::iequals(name, field.name_string());
        };
        // RFC 9110, 7.6.1: fields named by Connection end at this hop.
        return !is_hop_by_hop(field.name())
            && std::none_of(daemon_fields.begin(), daemon_fields.end(), is_name)
            && !http::token_list(message[http::field::connection])
                    .exists(field.name_string());
    }

    /// Replaces characters that would end or corrupt a header field.
    std::string printable(std::string text)
    {
        std::replace_if(
            text.begin(), text.end(),
            [](char character) { return character < ' ' || character > '~'; },
            '?');
        return text;
    }

    /// RFC 9110, 8.6: a length of zero must not be sent with these.
    bool has_no_body(unsigned status)
    {
        return status < 200 || status == 204 || status == 304;
    }

} // namespace

std::optional<request_head> read_head(const http_request& message,
    const operators::kind_settings& kind, core::milliseconds max_timeout,
    core::time_point now, core::error& reason)
{
    for (const char* name : { id_field, timeout_field, account_field })
    {
        if (message.count(name) > 1)
        {
            reason = core::error::make(
                std::string("check ") + name, "caller", "is given twice");
            return std::nullopt;
        }
    }
    // RFC 9112, 3.2: to be answered with 400.
    const std::size_t hosts = message.count(http::field::host);
    if (hosts > 1 || (hosts == 0 && message.version() >= 11))
    {
        reason = core::error::make(
            "check Host", "caller", "is missing or given twice");
        return std::nullopt;
    }
    if (message.count(http::field::expect) > 0
        && !is_continue_expected(message))
    {
        reason = core::error::make(
            "check Expect", "caller", "is not 100-continue");
        return std::nullopt;
    }
    return request_head::create(to_view(message[id_field]),
        to_view(message[timeout_field]), to_view(message[account_field]), kind,
        max_timeout, now, reason);
}

upstream::request_message to_message(const http_request& message)
{
    core::header_fields fields;
    for (const auto& field : message)
    {
        if (is_forwarded(message, field))
        {
            fields.push_back(core::header_field::make(
                std::string(to_view(field.name_string())),
                std::string(to_view(field.value()))));
        }
    }
    return upstream::request_message::make(
        std::string(to_view(message.method_string())),
        std::string(to_view(message.target())), std::move(fields),
        message.body());
}

core::request_id id_for_answer(const http_request& message)
{
    core::error ignored;
    const auto given = parse_request_id(to_view(message[id_field]), ignored);
    return given ? *given : generate_request_id();
}

bool is_continue_expected(const http_request& message)
{
    return boost::beast::iequals(message[http::field::expect], "100-continue");
}

http_response to_response(const caller_answer& answer,
    const http_request& request, const core::request_id& id)
{
    const outcome& result = answer.get_outcome();
    http_response outgoing;
    outgoing.version(request.version());
    outgoing.result(result.get_status());
    for (const auto& field : answer.get_headers())
    {
        outgoing.insert(field.get_name(), field.get_value());
    }
    outgoing.set(id_field, id.str());
    outgoing.set("Request-Outcome", std::string(to_string(result.get_kind())));
    if (!result.get_reason().empty())
    {
        outgoing.set("Outcome-Reason", printable(result.get_reason()));
    }
    if (const auto retry_after = result.get_retry_after())
    {
        const auto whole_seconds
            = std::chrono::ceil<core::seconds>(*retry_after);
        outgoing.set(
            http::field::retry_after, std::to_string(whole_seconds.count()));
    }
    if (has_no_body(result.get_status()))
    {
        return outgoing;
    }
    const bool is_head = request.method() == http::verb::head;
    const bool has_length = outgoing.count(http::field::content_length) > 0;
    if (!is_head || !has_length)
    {
        outgoing.content_length(answer.get_body().size());
    }
    outgoing.body() = is_head ? std::string() : answer.get_body();
    return outgoing;
}

std::optional<caller_answer> answer_to_failed_read(
    const boost::system::error_code& failure)
{
    if (failure == boost::asio::error::timed_out)
    {
        return refusal(408, "request was not read in time");
    }
    if (failure == http::error::header_limit)
    {
        return refusal(431, "header is too large");
    }
    if (failure == http::error::body_limit)
    {
        return refusal(413, "body is too large");
    }
    const bool is_ended = failure == http::error::end_of_stream
        || failure == http::error::partial_message;
    static const auto& parse_failures
        = http::make_error_code(http::error::bad_method).category();
    if (is_ended || failure.category() != parse_failures)
    {
        return std::nullopt;
    }
    return refusal(400, "malformed request: " + failure.message());
}

caller_answer refusal(unsigned status, std::string reason)
{
    return caller_answer::without_body(
        outcome::not_run(status, std::move(reason)));
}

} // namespace pollenward::caller
