#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/system/error_code.hpp>

#include <cstddef>

namespace pollenward::caller {

/// Bytes of later requests that are buffered while one is running. Beyond this
/// the connection is not read until the request has been answered.
inline constexpr std::size_t max_pipelined_bytes = 16384;

/// An answer that is being written.
using last_answer
    = boost::beast::http::response_serializer<boost::beast::http::string_body>;

/// A connection from a caller. Used on the socket's strand only.
class caller_connection {
public:
    explicit caller_connection(boost::asio::ip::tcp::socket socket);

    /// Bounds the bytes that are read and not parsed yet, such as trailer
    /// fields without an end, so that a header of `header_bytes` fits.
    void limit_buffer(std::size_t header_bytes);

    /// Waits for bytes and reads them. Returns 0 if the connection ended.
    boost::asio::awaitable<std::size_t> read_some();

    /// Returns when the caller has closed its side, with the end of the stream
    /// or the failure that was read. Bytes that arrive before that belong to
    /// the next request and stay in the buffer.
    boost::asio::awaitable<boost::system::error_code> wait_for_peer_close();

    /// Returns when a caller whose stream has ended does not read any more,
    /// with the failure. A closed socket and one that only ended its sending
    /// side look the same until something is sent: an interim response, which
    /// the kernel of a closed one answers with a reset (RFC 9110, 15.2).
    boost::asio::awaitable<boost::system::error_code> wait_for_reset();

    /// Writes as much of the last answer as the kernel takes at once, and shuts
    /// down the sending side behind a whole one: a caller that has read the
    /// answer must not find the connection open.
    boost::system::error_code write_last(last_answer& answer);

    /// Shuts down the sending side and reads until the caller has closed its
    /// side. An immediate close with unread bytes would make the kernel reset
    /// the connection, and the caller could lose the last response.
    boost::asio::awaitable<void> lingering_close();

    void close();

    /// Ends the wait for the next request. A read that has completed keeps its
    /// bytes, which are neither in the buffer nor in the kernel until then.
    void end_idle_wait();

    /// Closes the connection for others' sake: ends the wait for a request, the
    /// reading of one, or the wait for the caller's close. Does nothing while a
    /// request runs.
    void evict();

    bool has_unread_bytes() const;

    boost::asio::ip::tcp::socket socket;
    boost::beast::flat_buffer buffer;
    /// True while the server waits for the next request.
    bool is_idle = false;
    /// Whether there are too many connections to serve this one: its request is
    /// refused.
    bool is_over_limit = false;
    /// True while the server reads a request.
    bool is_reading = false;
    /// True while the server waits for the caller to close its side.
    bool is_lingering = false;
    /// Whether evict() has ended a wait or the reading of a request.
    bool is_evicted = false;
    /// Whether a request was answered on the connection.
    bool has_answered = false;

private:
    bool has_failed();
    /// False if the connection has failed.
    bool send_interim_response();

    /// What the last read ended with.
    boost::system::error_code read_failure;
};

} // namespace pollenward::caller
