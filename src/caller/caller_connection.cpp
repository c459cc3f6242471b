#include "caller/caller_connection.hpp"

#include "core/runtime_timer.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <utility>

namespace pollenward::caller {

namespace asio = boost::asio;

namespace {

    constexpr std::size_t read_chunk_bytes = 4096;

} // namespace

caller_connection::caller_connection(asio::ip::tcp::socket socket)
    : socket(std::move(socket))
{
    boost::system::error_code ignored;
    this->socket.set_option(asio::ip::tcp::no_delay(true), ignored);
}

asio::awaitable<std::size_t> caller_connection::read_some()
{
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

asio::awaitable<void> caller_connection::lingering_close()
{
    boost::system::error_code ignored;
    this->socket.shutdown(asio::socket_base::shutdown_send, ignored);
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

bool caller_connection::has_unread_bytes() const
{
    boost::system::error_code ignored;
    return this->buffer.size() > 0 || this->socket.available(ignored) > 0;
}

} // namespace pollenward::caller
