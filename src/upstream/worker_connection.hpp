#pragma once

#include "core/endpoint.hpp"
#include "core/error.hpp"
#include "core/runtime_clock.hpp"
#include "upstream/attempt_result.hpp"
#include "upstream/dispatch_result.hpp"
#include "upstream/forward_request.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <optional>

namespace pollenward::upstream {

/// How one HTTP exchange with a worker ended.
class exchange_result {
public:
    static exchange_result answered(response_message response);
    static exchange_result failed(attempt_result result, core::error cause);

    attempt_result get_result() const { return this->result; }
    const core::error& get_cause() const { return this->cause; }

    const std::optional<response_message>& get_response() const
    {
        return this->response;
    }

private:
    attempt_result result = attempt_result::not_sent;
    std::optional<response_message> response;
    core::error cause;
};

/// One connection to a worker. It carries one exchange at a time, and after an
/// exchange that did not end with a whole response it is not reusable: a late
/// response must never be read by the next request.
class worker_connection {
public:
    worker_connection(
        const boost::asio::any_io_executor& executor, core::endpoint remote);

    /// False, with the reason, if no connection came about by the deadline.
    boost::asio::awaitable<bool> connect(
        core::time_point deadline, core::error& reason);

    /// Sends the request and reads the whole response.
    boost::asio::awaitable<exchange_result> exchange(
        const forward_request& request);

    bool is_reusable() const { return this->reusable; }

private:
    boost::asio::ip::tcp::socket socket;
    core::endpoint remote;
    bool reusable = false;
};

} // namespace pollenward::upstream
