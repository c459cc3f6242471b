#pragma once

// Only the nng transport includes this header.

#include "core/endpoint.hpp"
#include "core/error.hpp"
#include "fleet/message_codec.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <nng/nng.h>

#include <cstddef>
#include <functional>
#include <memory>
#include <mutex>
#include <vector>

namespace pollenward::fleet {

/// Requests that a daemon handles at the same time. A ping request occupies its
/// context for up to the timeout of an exchange.
inline constexpr std::size_t server_context_count = 32;

using bytes_handler
    = std::function<boost::asio::awaitable<encoded_message>(encoded_message)>;

/// Replies to requests of other daemons. Handlers run on the executor.
class nng_server {
public:
    explicit nng_server(boost::asio::any_io_executor executor);
    ~nng_server();
    nng_server(const nng_server&) = delete;
    nng_server& operator=(const nng_server&) = delete;

    /// Binds the listener; port 0 selects a free port. False, with the reason,
    /// on failure.
    bool listen(const core::endpoint& address, core::error& reason);

    /// The bound address, with the real port.
    const core::endpoint& get_address() const { return this->address; }

    void serve(bytes_handler handler);

    /// Aborts all requests. Blocks until nng's callbacks have ended.
    void close();

private:
    class server_context;

    boost::asio::any_io_executor executor;
    core::endpoint address;
    nng_socket socket = NNG_SOCKET_INITIALIZER;
    std::mutex mutex;
    std::vector<std::shared_ptr<server_context>> contexts;
};

} // namespace pollenward::fleet
