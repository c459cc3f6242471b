#pragma once

#include "core/runtime_clock.hpp"
#include "core/sharded_map.hpp"
#include "operators/event.hpp"
#include "operators/log_rate_limiter.hpp"

#include <atomic>
#include <cstdint>
#include <string>
#include <string_view>

namespace pollenward::operators {

/// The log on standard output. Writes do not block, so that a reader that stops
/// reading cannot block the daemon; lines that do not fit into the pipe are
/// dropped and counted.
class event_log {
public:
    /// Rate limit of each kind of event, in lines per second and lines at once.
    /// All kinds of event of a request together stay below 100 lines a second.
    static constexpr double lines_per_second = 20;
    static constexpr double line_burst = 100;

    static event_log& instance();

    /// Makes standard output non-blocking, redirects the messages of
    /// easylogging++ to this log and starts to write.
    void open(std::string daemon);

    /// False if the log is not open or the line was suppressed or dropped.
    bool write(const event& written, core::time_point now);

    /// Number of lines that could not be written whole.
    std::uint64_t count_dropped() const { return this->dropped.load(); }

    /// Writes one line without a rate limit; for easylogging++. False if it
    /// could not be written whole.
    bool write_line(std::string_view line);

private:
    core::sharded_map<std::string, log_rate_limiter> limiters;
    std::atomic<std::uint64_t> dropped{ 0 };
    std::string daemon;
    std::atomic<bool> is_open{ false };
};

} // namespace pollenward::operators
