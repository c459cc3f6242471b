#include "caller/caller_connection.hpp"

#include "core/runtime_timer.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/write.hpp>

#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <memory>
#include <string_view>
#include <utility>

namespace pollenward::caller {

namespace asio = boost::asio;

namespace {

    constexpr std::size_t read_chunk_bytes = 4096;
    /// In which a closed peer answers with a reset.
    constexpr core::milliseconds reset_time{ 250 };

} // namespace

caller_connection::caller_connection(asio::ip::tcp::socket socket)
    : socket(std::move(socket))
{
    boost::system::error_code ignored;
    this->socket.set_option(asio::ip::tcp::no_delay(true), ignored);
}

void caller_connection::limit_buffer(std::size_t header_bytes)
{
    this->buffer.max_size(
        std::max({ header_bytes, max_pipelined_bytes, this->buffer.size() })
        + read_chunk_bytes);
}

asio::awaitable<std::size_t> caller_connection::read_some()
{
    // The reactor reports the end of a stream only once.
    if (this->read_failure == asio::error::eof)
    {
        co_return 0;
    }
    // No other suspension point between the read and the commit: a cancelled
    // coroutine must not lose bytes that were read.
    const auto [failure, count] = co_await this->socket.async_read_some(
        this->buffer.prepare(read_chunk_bytes),
        asio::as_tuple(asio::use_awaitable));
    this->buffer.commit(count);
    this->read_failure = failure;
    co_return count;
}

asio::awaitable<boost::system::error_code>
caller_connection::wait_for_peer_close()
{
    std::size_t count = 1;
    while (count > 0)
    {
        if (this->buffer.size() >= max_pipelined_bytes)
        {
            co_await core::wait_until(core::time_point::max());
        }
        count = co_await this->read_some();
    }
    co_return this->read_failure;
}

bool caller_connection::send_interim_response()
{
    constexpr std::string_view interim = "HTTP/1.1 100 Continue\r\n\r\n";
    const auto sent = ::send(this->socket.native_handle(), interim.data(),
        interim.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
    // Without room in the buffer, what is sent already shows a reset.
    const bool is_full = sent < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
    return is_full || sent == static_cast<ssize_t>(interim.size());
}

asio::awaitable<boost::system::error_code> caller_connection::wait_for_reset()
{
    const auto failure_timer = std::make_shared<core::runtime_timer>(
        this->socket.get_executor(), core::runtime_clock::now() + reset_time);
    bool is_over = !this->send_interim_response();
    this->socket.async_wait(asio::socket_base::wait_error,
        [failure_timer](const boost::system::error_code& cancelled) {
            if (!cancelled)
            {
                failure_timer->cancel();
            }
        });
    while (!is_over)
    {
        const auto [ended_early] = co_await failure_timer->async_wait(
            asio::as_tuple(asio::use_awaitable));
        // A relay between the two notices a closed caller at the second write.
        is_over = ended_early || this->has_failed()
            || !this->send_interim_response();
        failure_timer->expires_at(core::time_point::max());
    }
    // A cancelled coroutine does not cancel a wait for a failure (Boost 1.81).
    boost::system::error_code ignored;
    this->socket.cancel(ignored);
    co_return asio::error::connection_reset;
}

bool caller_connection::has_failed()
{
    char byte = 0;
    const auto count = ::recv(
        this->socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count < 0 && errno != EAGAIN && errno != EWOULDBLOCK;
}

boost::system::error_code caller_connection::write_last(last_answer& answer)
{
    boost::system::error_code failure;
    this->socket.non_blocking(true, failure);
    while (!failure && !answer.is_done())
    {
        boost::beast::http::write_some(this->socket, answer, failure);
    }
    if (answer.is_done())
    {
        boost::system::error_code ignored;
        this->socket.shutdown(asio::socket_base::shutdown_send, ignored);
    }
    return failure == asio::error::would_block ? boost::system::error_code()
                                               : failure;
}

asio::awaitable<void> caller_connection::lingering_close()
{
    boost::system::error_code ignored;
    this->socket.shutdown(asio::socket_base::shutdown_send, ignored);
    this->is_lingering = true;
    this->buffer.clear();
    this->buffer.shrink_to_fit();
    std::size_t count = 1;
    while (count > 0)
    {
        this->buffer.clear();
        count = co_await this->read_some();
    }
}

void caller_connection::close()
{
    boost::system::error_code ignored;
    this->socket.close(ignored);
}

void caller_connection::end_idle_wait()
{
    if (this->is_idle)
    {
        boost::system::error_code ignored;
        this->socket.cancel(ignored);
    }
}

void caller_connection::evict()
{
    if (this->is_lingering)
    {
        this->close();
    }
    else if (this->is_idle || this->is_reading)
    {
        this->is_evicted = true;
        boost::system::error_code ignored;
        this->socket.cancel(ignored);
    }
}

bool caller_connection::has_unread_bytes() const
{
    boost::system::error_code ignored;
    return this->buffer.size() > 0 || this->socket.available(ignored) > 0;
}

} // namespace pollenward::caller
