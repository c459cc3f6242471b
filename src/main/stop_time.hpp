#pragma once

#include "core/runtime_clock.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include <mutex>
#include <optional>
#include <thread>

namespace pollenward::main {

/// In which a drain that begins late still reads and refuses the requests that
/// have arrived.
inline constexpr core::milliseconds last_read_time{ 100 };

/// When the first signal that ends the daemon arrived. It is noted on a thread
/// of its own, because the daemon's threads can be busy for a second.
class stop_time {
public:
    stop_time();
    ~stop_time();
    stop_time(const stop_time&) = delete;
    stop_time& operator=(const stop_time&) = delete;

    /// Nothing until a signal arrived.
    std::optional<core::time_point> get() const;

private:
    boost::asio::io_context context{ 1 };
    boost::asio::signal_set signals;
    mutable std::mutex mutex;
    std::optional<core::time_point> arrived;
    std::jthread waiting;
};

} // namespace pollenward::main
