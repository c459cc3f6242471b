#pragma once

#include "faults.hpp"
#include "stored_objects.hpp"

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

/// HTTP object service with injectable faults. Used by one thread only.
class object_service {
public:
    explicit object_service(const boost::asio::any_io_executor& executor);

    /// Creates objects from a JSON file that maps names to values.
    void load(const std::string& file);

    boost::asio::awaitable<void> accept_all(
        boost::asio::ip::tcp::acceptor& acceptor);

private:
    boost::asio::awaitable<void> serve(boost::asio::ip::tcp::socket socket);

    /// Returns nothing if the connection must be closed without a response.
    boost::asio::awaitable<std::optional<http_response>> answer(
        const http_request& request);
    boost::asio::awaitable<std::optional<http_response>> answer_call(
        const http_request& request, const std::string& target);
    boost::asio::awaitable<http_response> watch(const std::string& target);
    http_response get(const std::string& name) const;
    http_response put(const std::string& name, const http_request& request);
    http_response change_faults(const std::string& body);
    http_response report_calls() const;
    boost::asio::awaitable<void> wait(std::chrono::milliseconds delay);

    stored_objects objects;
    faults active_faults;
    std::map<std::string, std::uint64_t> calls;
    boost::asio::any_io_executor executor;
    /// Cancelled on each change of the objects or faults to wake waiting
    /// requests.
    boost::asio::steady_timer change_signal;
};

} // namespace platform_stand_in
