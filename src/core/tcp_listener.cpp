#include "core/tcp_listener.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/post.hpp>

namespace pollenward::core {

namespace asio = boost::asio;

tcp_listener::tcp_listener(asio::io_context& context)
    : context(context)
    , acceptor(asio::make_strand(context))
    , ended(this->acceptor.get_executor(), time_point::max())
{
}

bool tcp_listener::listen(const endpoint& where, error& reason)
{
    boost::system::error_code failure;
    const char* step = "read address of listener";
    const auto address = asio::ip::make_address(where.get_address(), failure);
    const tcp::endpoint wanted(address, where.get_port());
    if (!failure)
    {
        step = "open listener";
        this->acceptor.open(wanted.protocol(), failure);
    }
    if (!failure)
    {
        step = "set option of listener";
        this->acceptor.set_option(
            asio::socket_base::reuse_address(true), failure);
    }
    if (!failure)
    {
        step = "bind listener";
        this->acceptor.bind(wanted, failure);
    }
    if (!failure)
    {
        step = "listen";
        this->acceptor.listen(
            asio::socket_base::max_listen_connections, failure);
    }
    if (failure)
    {
        reason = error::make(step, where.str(), failure.message());
        return false;
    }
    this->local = where;
    this->port = this->acceptor.local_endpoint().port();
    return true;
}

void tcp_listener::close()
{
    this->closing = true;
    asio::post(this->acceptor.get_executor(), [this] {
        boost::system::error_code ignored;
        if (this->accepting)
        {
            this->acceptor.cancel(ignored);
        }
        else
        {
            this->acceptor.close(ignored);
        }
    });
}

asio::awaitable<void> tcp_listener::wait_until_closed(time_point limit)
{
    co_await asio::co_spawn(this->acceptor.get_executor(),
        with_deadline(this->wait_for_end(), limit), asio::use_awaitable);
}

asio::awaitable<bool> tcp_listener::wait_for_end()
{
    auto state = co_await asio::this_coro::cancellation_state;
    while (
        this->accepting && state.cancelled() == asio::cancellation_type::none)
    {
        boost::system::error_code ignored;
        co_await this->ended.async_wait(
            asio::redirect_error(asio::use_awaitable, ignored));
        state = co_await asio::this_coro::cancellation_state;
    }
    co_return true;
}

tcp_listener::accept_result tcp_listener::accept_waiting()
{
    boost::system::error_code failure;
    this->acceptor.non_blocking(true, failure);
    tcp::socket accepted(asio::make_strand(this->context));
    this->acceptor.accept(accepted, failure);
    return { failure,
        failure ? std::nullopt : std::optional(std::move(accepted)) };
}

bool tcp_listener::is_passing(boost::system::error_code failure)
{
    return failure == asio::error::no_descriptors
        || failure == boost::system::errc::too_many_files_open_in_system
        || failure == asio::error::no_buffer_space
        || failure == asio::error::no_memory
        || failure == asio::error::connection_aborted;
}

void tcp_listener::end_accepting()
{
    boost::system::error_code ignored;
    this->acceptor.close(ignored);
    this->accepting = false;
    this->ended.cancel();
}

} // namespace pollenward::core
