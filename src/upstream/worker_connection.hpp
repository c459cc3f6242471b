#pragma once

#include "core/endpoint.hpp"
#include "core/error.hpp"
#include "core/ids.hpp"
#include "core/memory_budget.hpp"
#include "core/runtime_clock.hpp"
#include "upstream/cancel_request.hpp"
#include "upstream/exchange_codec.hpp"
#include "upstream/exchange_result.hpp"
#include "upstream/forward_request.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstddef>
#include <optional>
#include <string>
#include <utility>

namespace pollenward::upstream {

class io_watchdog;

/// Translates requests and responses between this package's values and the
/// header fields of one kind of worker. `names_request` returns whether a whole
/// response belongs to the request.
template <class Type>
concept worker_codec
    = requires(const forward_request& request, const core::worker_id& worker_id,
        const core::endpoint& remote, const worker_response& incoming) {
          {
              Type::encode_header(request, worker_id, remote)
          } -> std::same_as<std::string>;
          {
              Type::decode_response(incoming, request.get_id(), remote)
          } -> std::same_as<exchange_result>;
          {
              Type::names_request(incoming, request.get_id())
          } -> std::same_as<bool>;
          // Whether the response carries the id of the request. One without an
          // id may be a copy of an earlier one.
          {
              Type::has_id_of(incoming, request.get_id())
          } -> std::same_as<bool>;
          // Whether a response without a length, ended by an orderly close, is
          // whole.
          {
              Type::accepts_close_delimited
          } -> std::convertible_to<bool>;
          // Whether a worker receives a separate request to cancel.
          {
              Type::cancels_by_request
          } -> std::convertible_to<bool>;
          // Number of whole responses that name another request and are
          // skipped.
          {
              Type::max_foreign_responses
          } -> std::convertible_to<int>;
      };

/// Time without any progress after which an exchange counts as silent: 1 s or a
/// third of the time to the deadline, whichever is shorter. It also bounds a
/// connect.
core::duration progress_limit(core::time_point deadline, core::time_point now);

/// One connection to a worker. It carries one exchange at a time, and after an
/// exchange that did not end with a whole response that carries the id of the
/// request it is not reusable: a late or repeated response must never be read
/// by the next request. A coroutine that uses it must run on a strand.
class worker_connection {
public:
    /// `bodies` bounds the responses that all connections read.
    worker_connection(const boost::asio::any_io_executor& executor,
        core::endpoint remote,
        core::memory_budget bodies = core::memory_budget::unlimited());

    /// False, with the reason, if no connection is established by the deadline.
    boost::asio::awaitable<bool> connect(
        core::time_point deadline, core::error& reason);

    /// Sends the request and reads the whole response. When the caller cancels
    /// or the latest end of the request passes after the send, a cancel request
    /// is sent to the worker. Only that time bounds the exchange. No operation
    /// is started after a cancellation, so that the caller's coroutine may
    /// continue without waiting.
    template <worker_codec Codec = native_worker_codec>
    boost::asio::awaitable<exchange_result> exchange(
        const forward_request& request,
        const core::worker_id& worker_id = core::worker_id())
    {
        auto result
            = co_await this->exchange_without_cancel<Codec>(request, worker_id);
        const auto kind = result.get_result();
        if (Codec::cancels_by_request
            && (kind == attempt_result::cancelled
                || kind == attempt_result::timed_out))
        {
            spawn_cancel(this->executor, this->remote, request.get_id());
        }
        co_return result;
    }

    /// As exchange(), but without a cancel request.
    template <worker_codec Codec = native_worker_codec>
    boost::asio::awaitable<exchange_result> exchange_without_cancel(
        const forward_request& request,
        const core::worker_id& worker_id = core::worker_id())
    {
        const response_rules rules{ Codec::accepts_close_delimited,
            Codec::max_foreign_responses, &Codec::names_request,
            &Codec::has_id_of };
        auto read = co_await this->transfer(request,
            Codec::encode_header(request, worker_id, this->remote), rules);
        if (!read.response)
        {
            co_return read.failure;
        }
        auto body = core::shared_text::make(
            std::exchange(read.response->body(), {}), std::move(read.reserved));
        auto result = Codec::decode_response(
            *read.response, request.get_id(), this->remote)
                          .with_body(std::move(body));
        if (result.get_result() == attempt_result::broken_after_send)
        {
            this->close();
        }
        co_return result;
    }

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
    /// The responses that a codec accepts.
    struct response_rules {
        bool accepts_close_delimited;
        int max_foreign_responses;
        bool (*names_request)(const worker_response&, const core::request_id&);
        bool (*has_id_of)(const worker_response&, const core::request_id&);
    };

    /// A whole response, or why there is none.
    struct transfer_result {
        std::optional<worker_response> response;
        exchange_result failure;
        /// For the body of the response.
        core::memory_lease reserved{};
    };

    /// Sends the encoded header and the body, and reads one whole response.
    boost::asio::awaitable<transfer_result> transfer(
        const forward_request& request, std::string header,
        response_rules rules);
    boost::asio::awaitable<boost::system::error_code> write(
        const std::string& header, const std::string& body);
    boost::asio::awaitable<transfer_result> read(const forward_request& request,
        const response_rules& rules, io_watchdog& watchdog);
    exchange_result failed(attempt_result result, std::string cause) const;
    attempt_result classify_failure(
        const io_watchdog& watchdog, bool is_cancelled) const;

    boost::asio::any_io_executor executor;
    boost::asio::ip::tcp::socket socket;
    core::endpoint remote;
    core::memory_budget bodies;
    std::size_t written = 0;
    core::time_point last_progress;
    bool reusable = false;
    bool response_started = false;
    bool response_ended = false;
    /// Whether bytes arrived before the whole request was written.
    bool has_early_input = false;
};

} // namespace pollenward::upstream
