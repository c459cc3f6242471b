#include "upstream/worker_connection.hpp"

#include "core/runtime_timer.hpp"
#include "upstream/cancel_request.hpp"
#include "upstream/exchange_codec.hpp"
#include "upstream/io_watchdog.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <netinet/tcp.h>
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

    constexpr auto token = asio::as_tuple(asio::use_awaitable);
    constexpr core::milliseconds max_progress_limit{ 1000 };
    /// Bounds the memory that one response may take.
    constexpr std::uint64_t max_response_body = 16U << 20U;

    /// Lets the kernel find a dead peer: probes after 5 s idle, and unanswered
    /// data or probes end the connection after 10 s.
    void set_keepalive(tcp::socket& socket)
    {
        const auto set = [&](int level, int name, int value) {
            ::setsockopt(
                socket.native_handle(), level, name, &value, sizeof value);
        };
        set(SOL_SOCKET, SO_KEEPALIVE, 1);
        set(IPPROTO_TCP, TCP_KEEPIDLE, 5);
        set(IPPROTO_TCP, TCP_KEEPINTVL, 2);
        set(IPPROTO_TCP, TCP_KEEPCNT, 3);
        set(IPPROTO_TCP, TCP_USER_TIMEOUT, 10000);
    }

    bool is_cancelled(const asio::cancellation_state& state)
    {
        return state.cancelled() != asio::cancellation_type::none;
    }

    /// A response without a length ends with the connection, and a truncated
    /// one could not be told from a whole one. An interim response (1xx) is not
    /// the answer, and none is asked for.
    template <class Parser>
    bool is_whole_answer(const Parser& parser)
    {
        constexpr unsigned first_final_status = 200;
        return !parser.need_eof()
            && parser.get().result_int() >= first_final_status;
    }

} // namespace

core::duration progress_limit(core::time_point deadline, core::time_point now)
{
    return std::min<core::duration>(max_progress_limit, (deadline - now) / 3);
}

worker_connection::worker_connection(
    const asio::any_io_executor& executor, core::endpoint remote)
    : executor(executor)
    , socket(executor)
    , remote(std::move(remote))
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
        auto [ended] = co_await this->socket.async_connect(target, token);
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
    set_keepalive(this->socket);
    this->reusable = true;
    co_return true;
}

void worker_connection::close()
{
    this->reusable = false;
    boost::system::error_code ignored;
    this->socket.close(ignored);
}

attempt_result worker_connection::failure_kind(
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
    const forward_request& request)
{
    const std::string header = encode_header(request, this->remote);
    boost::beast::buffers_suffix<std::array<asio::const_buffer, 2>> rest(
        std::array<asio::const_buffer, 2>{ asio::buffer(header),
            asio::buffer(request.get_message().get_body()) });
    while (asio::buffer_size(rest) > 0)
    {
        if (this->has_pending_input())
        {
            this->answered_early = true;
            if (this->written == 0)
            {
                co_return asio::error::connection_aborted;
            }
        }
        auto [failure, count]
            = co_await this->socket.async_write_some(rest, token);
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

asio::awaitable<exchange_result> worker_connection::read(
    const forward_request& request, io_watchdog& watchdog)
{
    boost::beast::flat_buffer buffer;
    http::response_parser<http::string_body> parser;
    parser.eager(true);
    parser.body_limit(max_response_body);
    parser.skip(request.get_message().get_method() == "HEAD");
    while (!parser.is_done())
    {
        auto [failure, count] = co_await http::async_read_some(
            this->socket, buffer, parser, token);
        this->response_started = this->response_started || count > 0;
        this->last_progress = core::runtime_clock::now();
        const auto state = co_await asio::this_coro::cancellation_state;
        const bool is_cut = is_cancelled(state) && !parser.is_done();
        if (failure || watchdog.has_expired() || is_cut)
        {
            const auto kind = this->failure_kind(watchdog, is_cancelled(state));
            co_return this->failed(kind, failure.message());
        }
    }
    this->response_ended = true;
    const auto& incoming = parser.get();
    const bool names_request = incoming["Request-Id"] == request.get_id().str();
    if (!is_whole_answer(parser) || (this->answered_early && !names_request))
    {
        co_return this->failed(attempt_result::broken_after_send,
            "the response has no certain end or came before the request");
    }
    auto result = decode_response(incoming, request.get_id(), this->remote);
    this->reusable = incoming.keep_alive() && buffer.size() == 0
        && !this->answered_early
        && result.get_result() != attempt_result::broken_after_send
        && !this->has_pending_input();
    co_return result;
}

asio::awaitable<exchange_result> worker_connection::exchange_once(
    const forward_request& request)
{
    this->reusable = false;
    this->response_started = false;
    this->response_ended = false;
    this->answered_early = false;
    this->written = 0;
    this->last_progress = core::runtime_clock::now();
    io_watchdog watchdog(this->socket, co_await asio::this_coro::executor);
    watchdog.set_expiry(request.get_deadline());
    const auto write_failure = co_await this->write(request);
    exchange_result result;
    if (write_failure || watchdog.has_expired())
    {
        const auto state = co_await asio::this_coro::cancellation_state;
        result = this->failed(this->failure_kind(watchdog, is_cancelled(state)),
            write_failure.message());
    }
    else
    {
        result = co_await this->read(request, watchdog);
    }
    if (!this->reusable)
    {
        this->close();
    }
    co_return result;
}

asio::awaitable<exchange_result> worker_connection::exchange(
    const forward_request& request)
{
    auto result = co_await this->exchange_once(request);
    const auto kind = result.get_result();
    if (kind == attempt_result::cancelled || kind == attempt_result::timed_out)
    {
        spawn_cancel(this->executor, this->remote, request.get_id());
    }
    co_return result;
}

} // namespace pollenward::upstream
