#include "soak/narrow_link.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <array>
#include <utility>

namespace pollenward::soak {

namespace asio = boost::asio;

namespace {

    constexpr auto as_result = asio::as_tuple(asio::use_awaitable);
    constexpr std::size_t segment_bytes = 8192;

} // namespace

narrow_link::narrow_link(asio::io_context& context, std::uint16_t target,
    double bytes_per_second, seconds delay)
    : context(context)
    , target(target)
    , bytes_per_second(bytes_per_second)
    , delay(delay)
    , port(take_port())
    , acceptor(context, tcp::endpoint(get_own_address(), this->port))
{
    asio::co_spawn(context, this->accept_all(), rethrow_failure);
}

asio::awaitable<void> narrow_link::accept_all()
{
    while (true)
    {
        auto [failure, socket]
            = co_await this->acceptor.async_accept(as_result);
        if (!failure)
        {
            asio::co_spawn(this->context,
                this->serve(std::make_shared<tcp::socket>(std::move(socket))),
                asio::detached);
        }
    }
}

asio::awaitable<void> narrow_link::serve(socket_pointer caller)
{
    const auto daemon = std::make_shared<tcp::socket>(this->context);
    const auto [refused] = co_await daemon->async_connect(
        { get_own_address(), this->target }, as_result);
    if (refused)
    {
        reset(*caller);
        co_return;
    }
    boost::system::error_code ignored;
    caller->set_option(tcp::no_delay(true), ignored);
    daemon->set_option(tcp::no_delay(true), ignored);
    asio::co_spawn(this->context,
        this->relay(caller, daemon, this->free_inwards), asio::detached);
    co_await this->relay(daemon, caller, this->free_outwards);
}

asio::awaitable<void> narrow_link::relay(
    socket_pointer from, socket_pointer to, seconds& free_at)
{
    std::array<char, segment_bytes> segment{};
    while (true)
    {
        const auto [failure, count]
            = co_await from->async_read_some(asio::buffer(segment), as_result);
        const seconds transfer_time(
            static_cast<double>(count) / this->bytes_per_second);
        free_at = std::max(now(), free_at) + transfer_time;
        co_await sleep_until(free_at + this->delay);
        if (failure == asio::error::eof)
        {
            boost::system::error_code ignored;
            to->shutdown(tcp::socket::shutdown_send, ignored);
            co_return;
        }
        if (failure)
        {
            reset(*to);
            co_return;
        }
        const auto [unwritten, written] = co_await asio::async_write(
            *to, asio::buffer(segment.data(), count), as_result);
        if (unwritten)
        {
            reset(*from);
            co_return;
        }
    }
}

} // namespace pollenward::soak
