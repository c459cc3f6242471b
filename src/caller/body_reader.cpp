#include "caller/body_reader.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/read.hpp>

#include <algorithm>
#include <string>
#include <utility>

namespace pollenward::caller {

namespace asio = boost::asio;

namespace {

    /// std::string::reserve() may take twice the bytes.
    void reserve_exactly(std::string& text, std::size_t bytes)
    {
        std::string grown;
        grown.reserve(bytes);
        grown.append(text);
        text.swap(grown);
    }

} // namespace

body_reader::body_reader(connection_table& connections, body_memory memory)
    : connections(connections)
    , memory(std::move(memory))
{
}

body_memory::lease body_reader::lease() const
{
    return body_memory::lease(this->memory);
}

bool body_reader::reserve(
    std::uint64_t number, body_memory::lease& reserved, std::size_t bytes)
{
    const bool is_reserved = reserved.resize(bytes);
    const bool is_small
        = is_reserved ? reserved.is_small() : bytes <= max_small_body_bytes;
    if (is_reserved)
    {
        this->connections.begin_body(number, is_small);
    }
    if (!is_reserved || this->memory.is_scarce(is_small))
    {
        this->connections.evict(is_small ? scarce_resource::small_bodies
                                         : scarce_resource::large_bodies,
            number, min_reading_time, 1);
    }
    return is_reserved;
}

asio::awaitable<std::tuple<boost::system::error_code>> body_reader::read(
    caller_connection& connection, std::uint64_t number, http_parser& incoming,
    body_memory::lease& reserved, std::uint64_t limit)
{
    boost::system::error_code failure;
    while (!failure && !incoming.is_done())
    {
        if (connection.is_evicted
            || !this->make_room(connection, number, incoming, reserved, limit))
        {
            failure = make_error_code(boost::system::errc::not_enough_memory);
            break;
        }
        const auto read = co_await boost::beast::http::async_read_some(
            connection.socket, connection.buffer, incoming,
            asio::as_tuple(asio::use_awaitable));
        failure = std::get<0>(read);
        const std::size_t held = incoming.get().body().capacity();
        if (!failure && held > reserved.size()
            && !this->reserve(number, reserved, held))
        {
            failure = make_error_code(boost::system::errc::not_enough_memory);
        }
    }
    if (failure)
    {
        std::string().swap(incoming.get().body());
        reserved.resize(0);
    }
    co_return std::tuple(failure);
}

bool body_reader::make_room(const caller_connection& connection,
    std::uint64_t number, http_parser& incoming, body_memory::lease& reserved,
    std::uint64_t limit)
{
    std::string& body = incoming.get().body();
    // One read adds no more than the buffer holds.
    const std::uint64_t needed = std::min<std::uint64_t>(
        limit, body.size() + connection.buffer.max_size());
    if (!incoming.chunked() || needed <= body.capacity())
    {
        return true;
    }
    // A body stays in the part for small ones for as long as it can.
    const std::uint64_t most = needed <= max_small_body_bytes
        ? std::min<std::uint64_t>(limit, max_small_body_bytes)
        : limit;
    const std::uint64_t grown = std::min<std::uint64_t>(
        most, std::max<std::uint64_t>(needed, 2 * body.capacity()));
    const bool is_reserved = this->reserve(number, reserved, grown);
    if (is_reserved)
    {
        reserve_exactly(body, grown);
    }
    return is_reserved;
}

} // namespace pollenward::caller
