#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>

#include <cstddef>

namespace pollenward::caller {

/// Bytes of further requests that are read while one is running. A caller
/// that sends more is not read until its request has been answered.
inline constexpr std::size_t max_pipelined_bytes = 65536;

/// One connection of a caller. Used on the socket's strand only.
class caller_link {
public:
    explicit caller_link(boost::asio::ip::tcp::socket socket);

    /// Reads what has arrived, or waits for it. Zero if the connection ended.
    boost::asio::awaitable<std::size_t> read_some();

    /// Returns when the caller has closed its side. Bytes that arrive before
    /// belong to the next request and are kept.
    boost::asio::awaitable<void> wait_for_end();

    /// Ends the sending side and reads until the caller has closed its own.
    /// An immediate close with unread bytes would make the kernel reset the
    /// connection, and the caller could lose the last response.
    boost::asio::awaitable<void> close_gently();

    void close();

    /// Closes the connection if no part of a request has arrived.
    void close_if_idle();

    bool has_unread_bytes() const;

    boost::asio::ip::tcp::socket socket;
    boost::beast::flat_buffer buffer;
    /// True while the next request is awaited.
    bool is_idle = false;
};

} // namespace pollenward::caller
