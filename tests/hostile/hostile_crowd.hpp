#pragma once

#include "hostile/hostile_request.hpp"
#include "soak/soak_time.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstddef>
#include <map>

namespace pollenward::hostile {

/// Callers that send the same hostile request, each on a connection of its
/// own, and then leave the connection open until the daemon closes it.
class hostile_crowd {
public:
    hostile_crowd(boost::asio::io_context& context,
        boost::asio::ip::tcp::endpoint daemon, hostile_request request);

    void start(std::size_t callers);

    /// Whether each caller is connected and has sent its first bytes.
    bool have_all_begun() const { return this->begun == this->size; }
    /// Whether each caller has sent everything or was closed by the daemon.
    bool have_all_sent() const { return this->sent == this->size; }
    std::size_t count_open() const { return this->connections.size(); }

    /// Closes all connections.
    void close();

private:
    using tcp = boost::asio::ip::tcp;

    boost::asio::awaitable<void> run(std::size_t caller);
    /// False if the connection ended before.
    boost::asio::awaitable<bool> send(std::size_t caller);
    boost::asio::awaitable<bool> send(
        std::size_t caller, const std::string& bytes);

    boost::asio::io_context& context;
    tcp::endpoint daemon;
    hostile_request request;
    std::size_t size = 0;
    std::size_t begun = 0;
    std::size_t sent = 0;
    /// By the number of the caller.
    std::map<std::size_t, tcp::socket> connections;
};

} // namespace pollenward::hostile
