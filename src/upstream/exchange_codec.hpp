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

/// The header of the request with the fields that a worker needs: id, rank,
/// and the deadline as wall-clock time, which the worker can compare with its
/// own clock even if the request was delayed on the way.
std::string encode_header(
    const forward_request& request, const core::endpoint& remote);

/// What a whole response means. A response that names another request is not
/// handed to the caller: the connection crossed answers.
exchange_result decode_response(const worker_response& incoming,
    const core::request_id& id, const core::endpoint& remote);

} // namespace pollenward::upstream
