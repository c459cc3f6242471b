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

/// The product's own protocol with workers.
struct own_worker_codec {
    static constexpr bool accepts_close_delimited = false;
    static constexpr bool cancels_by_request = true;
    static constexpr int max_foreign_responses = 0;

    /// The header of the request with the fields that a worker needs: id,
    /// rank, and the deadline as wall-clock time, which the worker can compare
    /// with its own clock even if the request was delayed on the way.
    static std::string encode_header(const forward_request& request,
        const core::worker_id& who, const core::endpoint& remote);

    /// What a whole response means. A response that names another request is
    /// not handed to the caller: the connection crossed answers.
    static exchange_result decode_response(const worker_response& incoming,
        const core::request_id& id, const core::endpoint& remote);

    static bool names_request(
        const worker_response& incoming, const core::request_id& id);
};

/// Fields that concern one connection only. Passing on a caller's framing
/// would let the worker see another end of the message than the daemon.
bool is_connection_field(boost::beast::http::field name);

/// The response without the fields that concern one connection only.
response_message to_message(const worker_response& incoming);

} // namespace pollenward::upstream
