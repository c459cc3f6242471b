#include "hostile/hostile_crowd.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <string>
#include <utility>

namespace pollenward::hostile {

namespace asio = boost::asio;

namespace {

    constexpr auto as_result = asio::as_tuple(asio::use_awaitable);

} // namespace

hostile_crowd::hostile_crowd(
    asio::io_context& context, tcp::endpoint daemon, hostile_request request)
    : context(context)
    , daemon(std::move(daemon))
    , request(std::move(request))
{
}

void hostile_crowd::start(std::size_t callers)
{
    this->size = callers;
    for (std::size_t i = 0; i < callers; ++i)
    {
        this->connections.emplace(i, this->context);
        asio::co_spawn(this->context, this->run(i), soak::rethrow_failure);
    }
}

asio::awaitable<bool> hostile_crowd::send(
    std::size_t caller, const std::string& bytes)
{
    const auto [failure, count] = co_await asio::async_write(
        this->connections.at(caller), asio::buffer(bytes), as_result);
    co_return !failure;
}

asio::awaitable<bool> hostile_crowd::send(std::size_t caller)
{
    bool is_open = true;
    for (std::size_t i = 0; is_open && i < this->request.get_piece_count(); ++i)
    {
        is_open = co_await this->send(caller, this->request.get_piece());
    }
    co_return is_open&& co_await this->send(caller, this->request.get_last());
}

asio::awaitable<void> hostile_crowd::run(std::size_t caller)
{
    tcp::socket& socket = this->connections.at(caller);
    const auto [failure]
        = co_await socket.async_connect(this->daemon, as_result);
    const std::string first = this->request.get_first(caller);
    bool is_open = !failure && co_await this->send(caller, first);
    ++this->begun;
    is_open = is_open && co_await this->send(caller);
    ++this->sent;
    std::array<char, 4096> ignored{};
    while (is_open)
    {
        const auto [ended, count]
            = co_await socket.async_read_some(asio::buffer(ignored), as_result);
        is_open = !ended;
    }
    this->connections.erase(caller);
}

void hostile_crowd::close()
{
    for (auto& [caller, socket] : this->connections)
    {
        boost::system::error_code ignored;
        socket.close(ignored);
    }
}

} // namespace pollenward::hostile
