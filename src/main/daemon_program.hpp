#pragma once

#include "core/runtime_timer.hpp"
#include "main/exit_code.hpp"
#include "main/settings.hpp"
#include "main/stop_signal.hpp"
#include "main/stop_time.hpp"
#include "operators/event.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <easylogging++.h>

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <iostream>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace pollenward::main {

/// Reads a settings file; writes all its faults to standard error.
std::optional<settings> load_settings(const std::string& file);

/// The signals that a daemon handles. Constructed before the daemon starts:
/// until a signal is handled, its default action ends the process, and callers
/// may be connected by then. Signals that come before wait_for_stop() or
/// watch_settings() run are kept.
struct handled_signals {
    explicit handled_signals(boost::asio::io_context& context)
        : stops(context, SIGINT, SIGTERM)
        , reloads(context, SIGHUP)
    {
    }

    boost::asio::signal_set stops;
    boost::asio::signal_set reloads;
    stop_time first_stop;
};

/// Ignores the signals whose default action would end the process: SIGHUP until
/// handled_signals exist, since the settings that it announces have not been
/// read yet or their change is noticed by its time; and SIGPIPE, which a log
/// line raises when the reader of standard output is gone.
void ignore_fatal_signals();

/// Makes the memory of large bodies go back to the host when they are gone, on
/// which the shares of the memory for bodies rest.
void limit_kept_memory();

/// Waits for the next signal that ends the daemon, and logs what follows.
boost::asio::awaitable<stop_action> next_stop_action(
    boost::asio::signal_set& stops, bool is_draining);

/// Returns when a signal has to cut the requests that the drain waits for.
boost::asio::awaitable<void> wait_for_cut(boost::asio::signal_set& stops);

/// Drains the daemon on the first signal, then ends the context.
template <class Daemon>
boost::asio::awaitable<void> wait_for_stop(
    boost::asio::io_context& context, Daemon& daemon, handled_signals& signals)
{
    using namespace boost::asio::experimental::awaitable_operators;
    co_await next_stop_action(signals.stops, false);
    const auto signalled
        = signals.first_stop.get().value_or(core::runtime_clock::now());
    const auto ended
        = co_await (daemon.drain(signalled) || wait_for_cut(signals.stops));
    if (ended.index() != 0)
    {
        daemon.cut();
    }
    context.stop();
}

/// When a file was last written; empty if that cannot be read.
std::optional<std::filesystem::file_time_type> get_last_write_time(
    const std::string& file);

/// Reads the settings again at each SIGHUP, and when the file has changed
/// without a signal. Invalid settings are reported and not applied.
template <class Daemon>
boost::asio::awaitable<void> watch_settings(
    Daemon& daemon, std::string file, boost::asio::signal_set& reloads)
{
    using namespace boost::asio::experimental::awaitable_operators;
    // Time between two checks of the file's last write time.
    constexpr core::milliseconds interval{ 1000 };
    auto last_written = get_last_write_time(file);
    while (true)
    {
        const auto woken
            = co_await (reloads.async_wait(boost::asio::use_awaitable)
                || core::wait_until(core::runtime_clock::now() + interval));
        const auto written = get_last_write_time(file);
        const bool is_signalled = woken.index() == 0;
        if (!is_signalled && written == last_written)
        {
            continue;
        }
        last_written = written;
        const auto next = load_settings(file);
        operators::write(operators::event::make(
            next ? "settings.read" : "settings.unreadable")
                             .with("file", file)
                             .with("signal", is_signalled));
        if (next)
        {
            daemon.reload(*next);
        }
    }
}

/// Runs a daemon until a signal ends it; returns the exit code.
template <class Daemon>
int run_daemon(const settings& loaded, const std::string& file)
{
    limit_kept_memory();
    boost::asio::io_context context(loaded.get_threads());
    handled_signals signals(context);
    Daemon daemon(context, loaded);
    core::error reason;
    if (!daemon.start(reason))
    {
        LOG(ERROR) << reason;
        return to_int(exit_code::failure);
    }
    // Each waits for one of two events, which must not end at the same time on
    // two threads.
    boost::asio::co_spawn(boost::asio::make_strand(context),
        wait_for_stop(context, daemon, signals), boost::asio::detached);
    boost::asio::co_spawn(boost::asio::make_strand(context),
        watch_settings(daemon, file, signals.reloads), boost::asio::detached);
    LOG(INFO) << "serving as " << loaded.get_id();
    {
        std::vector<std::jthread> threads;
        threads.reserve(static_cast<std::size_t>(loaded.get_threads()));
        for (int i = 0; i < loaded.get_threads(); ++i)
        {
            threads.emplace_back([&] { context.run(); });
        }
    }
    // Suspended coroutines still refer to the daemon and the daemon refers to
    // the context, so neither can be destroyed first.
    std::cout.flush();
    std::quick_exit(to_int(exit_code::success));
}

} // namespace pollenward::main
