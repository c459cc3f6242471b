#include "main/daemon_program.hpp"

#include <malloc.h>

#include <fstream>
#include <iostream>
#include <iterator>

namespace pollenward::main {

std::optional<settings> load_settings(const std::string& file)
{
    std::ifstream input(file);
    if (!input)
    {
        std::cerr << "read settings with " << file << ": cannot be opened\n";
        return std::nullopt;
    }
    const std::string text{ std::istreambuf_iterator<char>(input), {} };
    std::vector<core::error> faults;
    auto loaded = settings::create(text, file, faults);
    for (const core::error& fault : faults)
    {
        std::cerr << fault << '\n';
    }
    return loaded;
}

void ignore_fatal_signals()
{
    std::signal(SIGPIPE, SIG_IGN);
    std::signal(SIGHUP, SIG_IGN);
}

void limit_kept_memory()
{
    // Without a fixed threshold, the allocator raises its own with each large
    // block that is freed, and keeps such blocks from then on.
    constexpr int mapped_block_bytes = 128 * 1024;
    ::mallopt(M_MMAP_THRESHOLD, mapped_block_bytes);
}

boost::asio::awaitable<stop_action> next_stop_action(
    boost::asio::signal_set& stops, bool is_draining)
{
    const int number = co_await stops.async_wait(boost::asio::use_awaitable);
    const auto action = decide_stop(
        number == SIGINT ? stop_signal::interrupt : stop_signal::terminate,
        is_draining);
    operators::write(operators::event::make("daemon.stop_signal")
                         .with("signal", number)
                         .with("draining", is_draining)
                         .with("action", to_string(action)));
    co_return action;
}

boost::asio::awaitable<void> wait_for_cut(boost::asio::signal_set& stops)
{
    auto action = stop_action::ignore;
    while (action != stop_action::cut_requests)
    {
        action = co_await next_stop_action(stops, true);
    }
}

std::optional<std::filesystem::file_time_type> get_last_write_time(
    const std::string& file)
{
    std::error_code failure;
    const auto time = std::filesystem::last_write_time(file, failure);
    return failure ? std::nullopt : std::optional(time);
}

} // namespace pollenward::main
