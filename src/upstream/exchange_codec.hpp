#pragma once

// Only transport files include this header: it depends on Beast.

#include "core/endpoint.hpp"
#include "upstream/exchange_result.hpp"
#include "upstream/forward_request.hpp"

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <string>

namespace pollenward::upstream {

using worker_response
    = boost::beast::http::response<boost::beast::http::string_body>;

/// Codec of Pollenward's native protocol with workers.
struct native_worker_codec {
    static constexpr bool accepts_close_delimited = false;
    static constexpr bool cancels_by_request = true;
    static constexpr int max_foreign_responses = 0;

    /// The header of the request with the fields that a worker needs: id,
    /// rank, and the deadline as wall-clock time, which the worker can compare
    /// with its own clock even if the request was delayed on the way.
    static std::string encode_header(const forward_request& request,
        const core::worker_id& worker_id, const core::endpoint& remote);

    /// Converts a whole response to a result. A response that names another
    /// request is not passed to the caller and counts as a broken exchange.
    static exchange_result decode_response(const worker_response& incoming,
        const core::request_id& id, const core::endpoint& remote);

    static bool names_request(
        const worker_response& incoming, const core::request_id& id);

    static bool has_id_of(
        const worker_response& incoming, const core::request_id& id)
    {
        return names_request(incoming, id);
    }
};

/// Whether a header field applies to one connection only. Forwarding a caller's
/// framing fields would let the worker see a different end of the message than
/// the daemon.
bool is_connection_field(boost::beast::http::field name);

/// The response without the fields that apply to one connection only.
response_message to_message(const worker_response& incoming);

} // namespace pollenward::upstream
