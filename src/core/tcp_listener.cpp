#include "core/tcp_listener.hpp"

#include <boost/asio/post.hpp>

namespace pollenward::core {

namespace asio = boost::asio;

tcp_listener::tcp_listener(asio::io_context& context)
    : context(context)
    , acceptor(asio::make_strand(context))
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
    asio::post(this->acceptor.get_executor(), [this] {
        boost::system::error_code ignored;
        this->acceptor.close(ignored);
    });
}

} // namespace pollenward::core
