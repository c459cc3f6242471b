#pragma once

#include "worker_model.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <string>

namespace pollenward::worker_stand_in {

/// HTTP server of the stand-in. Serves requests, and the control paths /health,
/// /load, /runs, /cancel/ID, /control and /silence.
class worker_server {
public:
    worker_server(worker_model& model, std::string name);

    boost::asio::awaitable<void> accept_all(
        boost::asio::ip::tcp::acceptor& acceptor);

private:
    boost::asio::awaitable<void> serve(
        boost::asio::ip::tcp::socket socket, std::uint64_t number);

    worker_model& model;
    std::string name;
    std::uint64_t accepted = 0;
    /// Connections with a lower number receive no responses.
    std::uint64_t silent_below = 0;
};

} // namespace pollenward::worker_stand_in
