#include "upstream/worker_connection.hpp"

#include "core/runtime_timer.hpp"
#include "core/tcp_keepalive.hpp"
#include "upstream/io_watchdog.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <utility>

namespace pollenward::upstream {

namespace {

    namespace asio = boost::asio;
    namespace http = boost::beast::http;
    using asio::ip::tcp;

    constexpr auto tuple_awaitable = asio::as_tuple(asio::use_awaitable);
    constexpr core::milliseconds max_progress_limit{ 1000 };
    /// Bounds the memory that one response may use.
    constexpr std::uint64_t max_response_body = 16U << 20U;
    /// Bounds the bytes that the parser cannot use yet, such as a line without
    /// an end in a header or in the frame of a chunk.
    constexpr std::size_t max_unparsed_bytes = 64U << 10U;

    /// A dead peer is detected after 5 s idle and three probes at intervals of
    /// 2 s; unacknowledged data ends the connection after 10 s.
    constexpr core::keepalive_times worker_keepalive{ 5, 2, 3, 10000 };

    bool is_cancelled(const asio::cancellation_state& state)
    {
        return state.cancelled() != asio::cancellation_type::none;
    }

    /// An interim response (1xx) is not the answer, and none is requested. A
    /// truncated response without a length cannot be distinguished from a whole
    /// one, unless the worker resets the connection when it truncates a
    /// response.
    template <class Parser>
    bool is_whole_answer(const Parser& parser, bool accepts_close_delimited)
    {
        constexpr unsigned first_final_status = 200;
        // RFC 9110, section 15: a greater status is invalid.
        constexpr unsigned last_final_status = 599;
        const unsigned status = parser.get().result_int();
        return (accepts_close_delimited || !parser.need_eof())
            && status >= first_final_status && status <= last_final_status;
    }

} // namespace

core::duration progress_limit(core::time_point deadline, core::time_point now)
{
    return std::min<core::duration>(max_progress_limit, (deadline - now) / 3);
}

worker_connection::worker_connection(const asio::any_io_executor& executor,
    core::endpoint remote, core::memory_budget bodies)
    : executor(executor)
    , socket(executor)
    , remote(std::move(remote))
    , bodies(std::move(bodies))
{
}

exchange_result worker_connection::failed(
    attempt_result result, std::string cause) const
{
    return exchange_result::failed(result,
        core::error::make(
            "exchange with worker", this->remote.str(), std::move(cause)));
}

bool worker_connection::has_pending_input()
{
    char byte = 0;
    const auto received = ::recv(
        this->socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return received >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
}

asio::awaitable<bool> worker_connection::connect(
    core::time_point deadline, core::error& reason)
{
    const tcp::endpoint target(
        asio::ip::make_address(this->remote.get_address()),
        this->remote.get_port());
    boost::system::error_code failure;
    this->socket.open(target.protocol(), failure);
    if (!failure)
    {
        io_watchdog watchdog(this->socket, co_await asio::this_coro::executor);
        watchdog.set_expiry(deadline);
        auto [ended]
            = co_await this->socket.async_connect(target, tuple_awaitable);
        failure = watchdog.has_expired() ? asio::error::timed_out : ended;
    }
    if (failure)
    {
        reason = core::error::make(
            "connect to worker", this->remote.str(), failure.message());
        co_return false;
    }
    boost::system::error_code ignored;
    this->socket.set_option(tcp::no_delay(true), ignored);
    core::set_keepalive(this->socket.native_handle(), worker_keepalive);
    this->reusable = true;
    co_return true;
}

void worker_connection::close()
{
    this->reusable = false;
    boost::system::error_code ignored;
    this->socket.close(ignored);
}

attempt_result worker_connection::classify_failure(
    const io_watchdog& watchdog, bool is_cancelled) const
{
    if (this->written == 0)
    {
        return attempt_result::not_sent;
    }
    if (is_cancelled)
    {
        return attempt_result::cancelled;
    }
    return watchdog.has_expired() ? attempt_result::timed_out
                                  : attempt_result::broken_after_send;
}

asio::awaitable<boost::system::error_code> worker_connection::write(
    const std::string& header, const std::string& body)
{
    boost::beast::buffers_suffix<std::array<asio::const_buffer, 2>> rest(
        std::array<asio::const_buffer, 2>{
            asio::buffer(header), asio::buffer(body) });
    while (asio::buffer_size(rest) > 0)
    {
        if (this->has_pending_input())
        {
            this->has_early_input = true;
            if (this->written == 0)
            {
                co_return asio::error::connection_aborted;
            }
        }
        auto [failure, count]
            = co_await this->socket.async_write_some(rest, tuple_awaitable);
        this->written += count;
        rest.consume(count);
        this->last_progress = core::runtime_clock::now();
        const auto state = co_await asio::this_coro::cancellation_state;
        if (!failure && is_cancelled(state))
        {
            co_return asio::error::operation_aborted;
        }
        if (failure)
        {
            co_return failure;
        }
    }
    co_return boost::system::error_code{};
}

asio::awaitable<worker_connection::transfer_result> worker_connection::read(
    const forward_request& request, const response_rules& rules,
    io_watchdog& watchdog)
{
    boost::beast::flat_buffer buffer(max_unparsed_bytes);
    core::memory_lease reserved = this->bodies.lease();
    for (int skipped = 0;; ++skipped)
    {
        http::response_parser<http::string_body> parser;
        parser.eager(true);
        parser.body_limit(max_response_body);
        parser.skip(request.get_message().get_method() == "HEAD");
        while (!parser.is_done())
        {
            auto [failure, count] = co_await http::async_read_some(
                this->socket, buffer, parser, tuple_awaitable);
            this->response_started = this->response_started || count > 0;
            this->last_progress = core::runtime_clock::now();
            const auto state = co_await asio::this_coro::cancellation_state;
            const bool is_interrupted
                = is_cancelled(state) && !parser.is_done();
            if (failure || watchdog.has_expired() || is_interrupted)
            {
                const auto kind
                    = this->classify_failure(watchdog, is_cancelled(state));
                co_return transfer_result{ std::nullopt,
                    this->failed(kind, failure.message()) };
            }
            if (!reserved.resize(parser.get().body().capacity()))
            {
                co_return transfer_result{ std::nullopt,
                    this->failed(attempt_result::broken_after_send,
                        "no memory is left for the response") };
            }
        }
        this->response_ended = true;
        const auto& incoming = parser.get();
        const bool names_request
            = rules.names_request(incoming, request.get_id());
        if (!is_whole_answer(parser, rules.accepts_close_delimited)
            || (this->has_early_input && !names_request))
        {
            co_return transfer_result{ std::nullopt,
                this->failed(attempt_result::broken_after_send,
                    "the response has no definite end or no final status, or "
                    "arrived before the request") };
        }
        const bool is_persistent = incoming.keep_alive() && !parser.need_eof();
        if (!names_request && is_persistent
            && skipped < rules.max_foreign_responses)
        {
            continue;
        }
        this->reusable = is_persistent && buffer.size() == 0
            && rules.has_id_of(incoming, request.get_id())
            && !this->has_early_input && skipped == 0
            && !this->has_pending_input();
        co_return transfer_result{ parser.release(), exchange_result(),
            std::move(reserved) };
    }
}

asio::awaitable<worker_connection::transfer_result> worker_connection::transfer(
    const forward_request& request, std::string header, response_rules rules)
{
    this->reusable = false;
    this->response_started = false;
    this->response_ended = false;
    this->has_early_input = false;
    this->written = 0;
    this->last_progress = core::runtime_clock::now();
    io_watchdog watchdog(this->socket, co_await asio::this_coro::executor);
    watchdog.set_expiry(request.get_latest_end());
    const auto write_failure
        = co_await this->write(header, request.get_message().get_body());
    transfer_result result;
    if (write_failure || watchdog.has_expired())
    {
        const auto state = co_await asio::this_coro::cancellation_state;
        result.failure = this->failed(
            this->classify_failure(watchdog, is_cancelled(state)),
            write_failure.message());
    }
    else
    {
        result = co_await this->read(request, rules, watchdog);
    }
    if (!this->reusable)
    {
        this->close();
    }
    co_return result;
}

} // namespace pollenward::upstream
