#pragma once

#include "core/runtime_clock.hpp"
#include "core/sharded_map.hpp"
#include "operators/event.hpp"
#include "operators/line_budget.hpp"

#include <atomic>
#include <cstdint>
#include <string>
#include <string_view>

namespace pollenward::operators {

/// The log on standard output. A reader that stops reading must not stop the
/// daemon: what the pipe does not take at once is dropped and counted.
class event_log {
public:
    /// Budget of each kind of event, in lines a second and lines at once. All
    /// kinds of event of a request together stay below 100 lines a second.
    static constexpr double lines_per_second = 20;
    static constexpr double line_burst = 100;

    static event_log& instance();

    /// Lets the log take over standard output, for this library's lines and
    /// for easylogging++'s.
    void open(std::string daemon);

    /// False if the line was left out.
    bool write(const event& written, core::time_point now);

    /// Lines that the pipe did not take.
    std::uint64_t count_dropped() const { return this->dropped.load(); }

    /// Writes one line without a budget; for easylogging++.
    bool write_line(std::string_view line);

private:
    core::sharded_map<std::string, line_budget> budgets;
    std::atomic<std::uint64_t> dropped{ 0 };
    std::string daemon;
    std::atomic<bool> is_open{ false };
};

} // namespace pollenward::operators
