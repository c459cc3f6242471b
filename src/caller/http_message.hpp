#pragma once

// Conversion between HTTP messages and the values of this package.

#include "caller/caller_answer.hpp"
#include "caller/request_head.hpp"
#include "core/error.hpp"
#include "core/runtime_clock.hpp"
#include "operators/kind_settings.hpp"
#include "upstream/forward_request.hpp"

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/system/error_code.hpp>

#include <optional>
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

/// Checks the header fields that concern this daemon. Nothing, with a reason,
/// if one is invalid, given twice, or missing.
std::optional<request_head> read_head(const http_request& message,
    const operators::kind_settings& kind, core::milliseconds max_timeout,
    core::time_point now, core::error& reason);

/// The message as it goes to a worker: end-to-end fields only, without those
/// that the daemon sets itself.
upstream::request_message to_message(const http_request& message);

/// The caller's request id if it is valid, else a new one.
core::request_id id_for_answer(const http_request& message);

/// True if the caller waits for a 100 response before it sends the body.
bool is_continue_expected(const http_request& message);

/// The response to `request`, complete but for the Connection field. The
/// response to a HEAD request has the length of the body, but no body.
http_response to_response(const caller_answer& answer,
    const http_request& request, const core::request_id& id);

/// What a caller is told whose message could not be read. Nothing if the
/// connection ended, so that nobody can be told.
std::optional<caller_answer> answer_to_failed_read(
    const boost::system::error_code& failure);

/// The answer to a request that is refused before it is handled.
caller_answer refusal(unsigned status, std::string reason);

} // namespace pollenward::caller
