#pragma once

#include "soak/balancer.hpp"
#include "soak/message_sizes.hpp"
#include "soak/request_record.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace pollenward::soak {

using answer_parser
    = boost::beast::http::response_parser<boost::beast::http::string_body>;

/// How a caller uses its connection.
enum class caller_habit {
    /// One request after the other.
    kept,
    /// Sends further idempotent requests before the first is answered.
    pipelining,
    /// Sends the body of each request in two parts.
    slow_body,
    /// The same, in chunks.
    chunked_body,
    /// Reads its answers late and in small pieces.
    slow_reading,
    /// Sends one more request on a connection that an answer has closed.
    persistent,
    /// Keeps its connection for some requests and shuts down its sending side
    /// after the last.
    half_closing,
};

std::string_view to_string(caller_habit habit);

/// A kind of request.
struct request_kind {
    std::string method;
    std::string prefix;
    bool is_idempotent = false;
    seconds deadline{};
    /// The route's timeout.
    seconds timeout{};
};

/// A caller that keeps each connection until the daemon closes it.
class caller {
public:
    caller(balancer& entry, const message_sizes& sizes, std::string zone,
        request_kind kind, caller_habit habit, std::uint64_t seed);

    /// Sends requests until `end`.
    boost::asio::awaitable<void> run(seconds end);

    const std::vector<request_record>& get_records() const
    {
        return this->records;
    }

private:
    struct connection;

    boost::asio::awaitable<bool> connect(connection& open);
    boost::asio::awaitable<bool> send(connection& open);
    /// Reads the answers of all requests that were sent; false if the
    /// connection has ended.
    boost::asio::awaitable<bool> read_answers(connection& open);
    boost::asio::awaitable<void> use(connection& open, seconds end);
    std::string make_request(const std::string& id, std::size_t body) const;
    /// The body as the caller sends it, with the fields of its framing.
    std::string frame_body(std::size_t size) const;
    /// Reads one answer into the parser; the error code if that fails.
    boost::asio::awaitable<boost::system::error_code> read_answer(
        connection& open, answer_parser& parser);
    /// Sends a request behind an answer that closed the connection, and waits
    /// for its end.
    boost::asio::awaitable<void> use_closed(connection& open);
    /// Ends the sending side behind a part of the requests.
    void end_sending(connection& open);
    void end_all(
        connection& open, request_record::ending how, const std::string& cause);

    balancer& entry;
    const message_sizes& sizes;
    std::string zone;
    request_kind kind;
    caller_habit habit;
    std::mt19937_64 random;
    std::vector<request_record> records;
};

} // namespace pollenward::soak
