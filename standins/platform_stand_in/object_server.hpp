#pragma once

#include "faults.hpp"
#include "store_state.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace platform_stand_in {

using http_request
    = boost::beast::http::request<boost::beast::http::string_body>;
using http_response
    = boost::beast::http::response<boost::beast::http::string_body>;

/// The object service over HTTP, with faults. Used from one thread.
class service {
public:
    explicit service(const boost::asio::any_io_executor& executor);

    /// Creates objects from a JSON file, name to value.
    void load(const std::string& file);

    boost::asio::awaitable<void> accept_all(
        boost::asio::ip::tcp::acceptor& acceptor);

private:
    boost::asio::awaitable<void> serve(boost::asio::ip::tcp::socket socket);

    /// Nothing: the connection is closed without a response.
    boost::asio::awaitable<std::optional<http_response>> answer(
        const http_request& request);
    boost::asio::awaitable<std::optional<http_response>> answer_call(
        const http_request& request, const std::string& target);
    boost::asio::awaitable<http_response> watch(const std::string& target);
    http_response get(const std::string& name) const;
    http_response put(const std::string& name, const http_request& request);
    http_response change_faults(const std::string& body);
    http_response count_calls() const;
    boost::asio::awaitable<void> wait(std::chrono::milliseconds delay);

    store_state objects;
    faults present;
    std::map<std::string, std::uint64_t> calls;
    boost::asio::any_io_executor executor;
    /// Cancelled at each change of the store or of the faults.
    boost::asio::steady_timer changed;
};

} // namespace platform_stand_in
