#pragma once

#include "core/endpoint.hpp"
#include "core/error.hpp"
#include "core/runtime_clock.hpp"
#include "upstream/exchange_result.hpp"
#include "upstream/forward_request.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstddef>
#include <string>

namespace pollenward::upstream {

class io_watchdog;

/// Time without any progress after which an exchange counts as silent: 1 s or
/// a third of the time to the deadline. It also bounds a connect.
core::duration progress_limit(core::time_point deadline, core::time_point now);

/// One connection to a worker. It carries one exchange at a time, and after an
/// exchange that did not end with a whole response it is not reusable: a late
/// response must never be read by the next request. A coroutine that uses it
/// must run on a strand.
class worker_connection {
public:
    worker_connection(
        const boost::asio::any_io_executor& executor, core::endpoint remote);

    /// False, with the reason, if no connection came about by the deadline.
    boost::asio::awaitable<bool> connect(
        core::time_point deadline, core::error& reason);

    /// Sends the request and reads the whole response. When the caller cancels
    /// or the deadline passes after the send, the worker is told to cancel.
    /// Only the deadline bounds it. No operation is started after a
    /// cancellation, so that the caller's coroutine may go on without waiting.
    boost::asio::awaitable<exchange_result> exchange(
        const forward_request& request);

    /// As exchange(), but the worker is not told to cancel.
    boost::asio::awaitable<exchange_result> exchange_once(
        const forward_request& request);

    const core::endpoint& get_remote() const { return this->remote; }

    /// Whether the connection is fit for an exchange: it was just connected, or
    /// the last exchange ended with a whole response and nothing after it.
    bool is_reusable() const { return this->reusable; }

    /// Makes the connection unusable for further exchanges.
    void close();

    /// When the last exchange began or last moved any byte.
    core::time_point get_last_progress() const { return this->last_progress; }

    /// Whether any byte of a response to the last request was read.
    bool has_response_bytes() const { return this->response_started; }

    /// Whether a whole response was read, even one that was then discarded.
    bool has_whole_response() const { return this->response_ended; }

    /// Whether there are bytes to read or the worker closed the connection.
    /// Either makes a connection without an exchange unusable.
    bool has_pending_input();

private:
    boost::asio::awaitable<boost::system::error_code> write(
        const forward_request& request);
    boost::asio::awaitable<exchange_result> read(
        const forward_request& request, io_watchdog& watchdog);
    exchange_result failed(attempt_result result, std::string cause) const;
    attempt_result failure_kind(
        const io_watchdog& watchdog, bool is_cancelled) const;

    boost::asio::any_io_executor executor;
    boost::asio::ip::tcp::socket socket;
    core::endpoint remote;
    std::size_t written = 0;
    core::time_point last_progress;
    bool reusable = false;
    bool response_started = false;
    bool response_ended = false;
    /// Bytes arrived before the request was written.
    bool answered_early = false;
};

} // namespace pollenward::upstream
