#include "caller/http_message.hpp"

#include "caller/request_fields.hpp"

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

    /// Replaces characters that would end or corrupt a header field.
    std::string printable(std::string text)
    {
        std::replace_if(
            text.begin(), text.end(),
            [](char character) { return character < ' ' || character > '~'; },
            '?');
        return text;
    }

} // namespace

bool is_hop_by_hop(http::field name)
{
    using http::field;
    constexpr std::array fields = { field::connection, field::keep_alive,
        field::proxy_connection, field::te, field::trailer,
        field::transfer_encoding, field::upgrade, field::content_length,
        field::host, field::expect };
    return std::find(fields.begin(), fields.end(), name) != fields.end();
}

bool has_valid_framing(const http_request& message, core::error& reason)
{
    const std::size_t hosts = message.count(http::field::host);
    if (hosts > 1 || (hosts == 0 && message.version() >= 11))
    {
        reason = core::error::make(
            "check Host", "caller", "is missing or given twice");
        return false;
    }
    if (message.count(http::field::expect) > 0
        && !is_continue_expected(message))
    {
        reason = core::error::make(
            "check Expect", "caller", "is not 100-continue");
        return false;
    }
    // RFC 9112, 6.1: with a coding that it does not support, a recipient cannot
    // determine where the body ends.
    const auto coding = message[http::field::transfer_encoding];
    if (!coding.empty() && !boost::beast::iequals(coding, "chunked"))
    {
        reason = core::error::make(
            "check Transfer-Encoding", "caller", "is not chunked alone");
        return false;
    }
    return true;
}

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
    if (!has_valid_framing(message, reason))
    {
        return std::nullopt;
    }
    return request_head::create(to_view(message[id_field]),
        to_view(message[timeout_field]), to_view(message[account_field]), kind,
        max_timeout, now, reason);
}

upstream::request_message to_message(
    const http_request& message, core::shared_text body)
{
    const auto is_daemon_field = [](boost::beast::string_view name) {
        return std::any_of(daemon_fields.begin(), daemon_fields.end(),
            [&](boost::beast::string_view known) {
                return boost::beast::iequals(known, name);
            });
    };
    return upstream::request_message::make(
        std::string(to_view(message.method_string())),
        std::string(to_view(message.target())),
        end_to_end_fields(message, is_daemon_field), std::move(body));
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
    set_body(outgoing, request, answer);
    return outgoing;
}

bool has_no_body(unsigned status)
{
    // RFC 9110, 8.6: a length of zero must not be sent with these.
    return status < 200 || status == 204 || status == 304;
}

void set_body(http_response& outgoing, const http_request& request,
    const caller_answer& answer)
{
    if (has_no_body(outgoing.result_int()))
    {
        return;
    }
    const bool is_head = request.method() == http::verb::head;
    const bool has_length = outgoing.count(http::field::content_length) > 0;
    if (!is_head || !has_length)
    {
        outgoing.content_length(answer.get_body().size());
    }
    outgoing.body() = is_head ? std::string() : answer.get_body();
}

std::optional<caller_answer> answer_to_failed_read(
    const boost::system::error_code& failure)
{
    if (failure == boost::asio::error::timed_out)
    {
        return refusal(408, "request was not read in time");
    }
    if (failure == boost::system::errc::not_enough_memory)
    {
        constexpr core::milliseconds retry_after{ 1000 };
        return caller_answer::without_body(outcome::not_run(
            503, "no memory is left for the request", retry_after));
    }
    // The buffer is full of what the parser takes only as a whole: a header,
    // the line of a chunk or the trailer fields.
    if (failure == http::error::header_limit
        || failure == http::error::buffer_overflow)
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

caller_answer stopping_answer()
{
    constexpr core::milliseconds retry_after{ 100 };
    return caller_answer::without_body(
        outcome::not_run(503, "daemon is stopping", retry_after));
}

caller_answer refusal(unsigned status, std::string reason)
{
    return caller_answer::without_body(
        outcome::not_run(status, std::move(reason)));
}

} // namespace pollenward::caller
