#pragma once

#include "hostile/ordinary_outcome.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstddef>

namespace pollenward::hostile {

/// A caller that keeps to the pages: it sends a whole request on a new
/// connection, and again after a refusal, when its Retry-After has passed.
class ordinary_caller {
public:
    static ordinary_caller make(
        boost::asio::ip::tcp::endpoint daemon, std::size_t body_size);

    /// A refused caller gives up after this many tries.
    ordinary_caller with_most_tries(int count) const;

    boost::asio::awaitable<ordinary_outcome> call() const;

private:
    boost::asio::ip::tcp::endpoint daemon;
    std::size_t body_size = 0;
    int most_tries = 10;
};

} // namespace pollenward::hostile
