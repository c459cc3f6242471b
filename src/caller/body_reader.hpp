#pragma once

#include "caller/body_memory.hpp"
#include "caller/caller_connection.hpp"
#include "caller/connection_table.hpp"
#include "caller/http_message.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/system/error_code.hpp>

#include <cstddef>
#include <cstdint>
#include <tuple>

namespace pollenward::caller {

/// Reads the bodies of requests into memory that they share.
class body_reader {
public:
    body_reader(connection_table& connections, body_memory memory);

    body_memory::lease lease() const;

    /// Reserves memory for the body of a request on connection `number`. When
    /// little is left, or none, a request that has been read for longer is
    /// refused.
    bool reserve(
        std::uint64_t number, body_memory::lease& reserved, std::size_t bytes);

    /// Reads the rest of a request, whose body must not exceed `limit`, while
    /// there is memory for it. After a failure, nothing of the body is kept.
    boost::asio::awaitable<std::tuple<boost::system::error_code>> read(
        caller_connection& connection, std::uint64_t number,
        http_parser& incoming, body_memory::lease& reserved,
        std::uint64_t limit);

private:
    /// Makes room for what the next read can add to a body without a length.
    bool make_room(const caller_connection& connection, std::uint64_t number,
        http_parser& incoming, body_memory::lease& reserved,
        std::uint64_t limit);

    connection_table& connections;
    body_memory memory;
};

} // namespace pollenward::caller
