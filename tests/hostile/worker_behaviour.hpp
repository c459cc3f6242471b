#pragma once

#include "soak/http_endpoint.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <concepts>
#include <optional>
#include <string>

namespace pollenward::hostile {

/// Answers the requests of one worker; nothing to reset the connection.
template <class Type>
concept worker_behaviour = requires(
    const soak::http_request& received, soak::tcp::socket& peer) {
    {
        Type::answer(received, peer)
    }
    -> std::same_as<boost::asio::awaitable<std::optional<soak::http_response>>>;
};

/// Answers at once.
struct quick_behaviour {
    static boost::asio::awaitable<std::optional<soak::http_response>> answer(
        const soak::http_request& received, soak::tcp::socket& /*peer*/)
    {
        const std::string id(received["Request-Id"]);
        soak::http_response made(boost::beast::http::status::ok, 11);
        made.set("Request-Id", id);
        made.set("Server-Signature", "3e1b.07.5a2.600.0." + id);
        made.body() = id;
        co_return made;
    }
};

/// Runs each request until the daemon closes the connection.
struct slow_behaviour {
    static boost::asio::awaitable<std::optional<soak::http_response>> answer(
        const soak::http_request& /*received*/, soak::tcp::socket& peer)
    {
        co_await peer.async_wait(soak::tcp::socket::wait_read,
            boost::asio::as_tuple(boost::asio::use_awaitable));
        co_return std::nullopt;
    }
};

} // namespace pollenward::hostile
