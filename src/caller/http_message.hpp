#pragma once

// Conversion between HTTP messages and the values of this package.

#include "caller/caller_answer.hpp"
#include "caller/caller_limits.hpp"
#include "caller/request_head.hpp"
#include "caller/route_table.hpp"
#include "core/error.hpp"
#include "core/runtime_clock.hpp"
#include "operators/kind_settings.hpp"
#include "upstream/forward_request.hpp"

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/rfc7230.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/system/error_code.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace pollenward::caller {

using http_request
    = boost::beast::http::request<boost::beast::http::string_body>;
using http_response
    = boost::beast::http::response<boost::beast::http::string_body>;
using http_parser
    = boost::beast::http::request_parser<boost::beast::http::string_body>;

inline std::string_view to_view(boost::beast::string_view text)
{
    return { text.data(), text.size() };
}

/// Checks the header fields that concern this daemon. Returns nullopt and sets
/// `reason` if one is invalid, given twice, or missing.
std::optional<request_head> read_head(const http_request& message,
    const operators::kind_settings& kind, core::milliseconds max_timeout,
    core::time_point now, core::error& reason);

/// The message as sent to a worker: end-to-end fields only, without those that
/// the daemon sets itself.
upstream::request_message to_message(
    const http_request& message, core::shared_text body);

/// True for fields that concern one connection or that each hop sets itself.
bool is_hop_by_hop(boost::beast::http::field name);

/// The end-to-end fields of a message, except those that match `is_excluded`.
template <class Predicate>
core::header_fields end_to_end_fields(
    const http_request& message, Predicate is_excluded)
{
    core::header_fields fields;
    for (const auto& field : message)
    {
        // RFC 9110, 7.6.1: fields named by Connection end at this hop.
        const bool is_forwarded = !is_hop_by_hop(field.name())
            && !is_excluded(field.name_string())
            && !boost::beast::http::token_list(
                message[boost::beast::http::field::connection])
                    .exists(field.name_string());
        if (is_forwarded)
        {
            fields.push_back(core::header_field::make(
                std::string(to_view(field.name_string())),
                std::string(to_view(field.value()))));
        }
    }
    return fields;
}

/// RFC 9112, 3.2 and RFC 9110, 10.1.1: Host must be given once, and an
/// expectation must be supported by this server. Returns false and sets
/// `reason` if the message has to be answered with 400.
bool has_valid_framing(const http_request& message, core::error& reason);

/// The caller's request id if it is valid, else a new one.
core::request_id id_for_answer(const http_request& message);

/// True if the caller waits for a 100 response before it sends the body.
bool is_continue_expected(const http_request& message);

/// The response to `request`, complete except for the Connection field. The
/// response to a HEAD request has the length of the body, but no body.
http_response to_response(const caller_answer& answer,
    const http_request& request, const core::request_id& id);

/// The answer to a caller whose message could not be read. Returns nullopt if
/// the connection ended, because no answer can be sent then.
std::optional<caller_answer> answer_to_failed_read(
    const boost::system::error_code& failure);

/// True for statuses whose responses have no body and no length.
bool has_no_body(unsigned status);

/// Sets the body and length of a response; one to a HEAD request gets only the
/// length.
void set_body(http_response& outgoing, const http_request& request,
    const caller_answer& answer);

/// The answer to a request that is refused before it is handled.
caller_answer refusal(unsigned status, std::string reason);

/// The answer of a daemon that is stopping; another one can serve the request.
caller_answer stopping_answer();

/// The dialect with pollenward's own header fields.
struct default_dialect {
    template <class Router>
    static caller_limits limits(const Router& routes)
    {
        return caller_limits::make(routes.ingress());
    }

    template <class Router>
    static std::optional<operators::kind_settings> find_kind(
        const Router& routes, const http_request& message)
    {
        return routes.find(
            host_name_of(to_view(message[boost::beast::http::field::host])),
            to_view(message.method_string()),
            path_of(to_view(message.target())));
    }

    template <class Router>
    static caller_answer answer_without_route(const Router& /*routes*/)
    {
        return refusal(404, "no route");
    }

    static std::optional<request_head> read_head(const http_request& message,
        const operators::kind_settings& kind, core::milliseconds max_timeout,
        core::time_point now, core::error& reason)
    {
        return caller::read_head(message, kind, max_timeout, now, reason);
    }

    static upstream::request_message to_message(
        const http_request& message, core::shared_text body)
    {
        return caller::to_message(message, std::move(body));
    }

    static http_response to_response(const caller_answer& answer,
        const http_request& request, const core::request_id& id)
    {
        return caller::to_response(answer, request, id);
    }
};

} // namespace pollenward::caller
