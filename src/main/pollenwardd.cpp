#include "main/daemon.hpp"
#include "main/exit_code.hpp"
#include "main/settings.hpp"

#include <CLI/CLI.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <easylogging++.h>

#include <csignal>
#include <fstream>
#include <iostream>
#include <iterator>
#include <string>
#include <thread>
#include <vector>

namespace {

using namespace pollenward;

std::optional<main::settings> load(const std::string& file)
{
    std::ifstream input(file);
    if (!input)
    {
        std::cerr << "read settings with " << file << ": cannot be opened\n";
        return std::nullopt;
    }
    const std::string text{ std::istreambuf_iterator<char>(input), {} };
    std::vector<core::error> faults;
    auto chosen = main::settings::create(text, file, faults);
    for (const core::error& fault : faults)
    {
        std::cerr << fault << '\n';
    }
    return chosen;
}

/// The first signal starts a graceful shutdown; the second ends it at once.
boost::asio::awaitable<void> wait_for_signals(
    boost::asio::io_context& context, main::daemon& daemon)
{
    using namespace boost::asio::experimental::awaitable_operators;
    boost::asio::signal_set signals(context, SIGINT, SIGTERM);
    co_await signals.async_wait(boost::asio::use_awaitable);
    const auto ended = co_await (
        daemon.drain() || signals.async_wait(boost::asio::use_awaitable));
    if (ended.index() != 0)
    {
        daemon.cut();
    }
    context.stop();
}

int run(const main::settings& chosen)
{
    boost::asio::io_context context(chosen.get_threads());
    main::daemon daemon(context, chosen);
    core::error reason;
    if (!daemon.start(reason))
    {
        LOG(ERROR) << reason;
        return main::to_int(main::exit_code::failure);
    }
    boost::asio::co_spawn(
        context, wait_for_signals(context, daemon), boost::asio::detached);
    LOG(INFO) << "serving as " << chosen.get_id();
    {
        std::vector<std::jthread> threads;
        threads.reserve(static_cast<std::size_t>(chosen.get_threads()));
        for (int i = 0; i < chosen.get_threads(); ++i)
        {
            threads.emplace_back([&] { context.run(); });
        }
    }
    return main::to_int(main::exit_code::success);
}

} // namespace

int main(int argc, char** argv)
{
    CLI::App app{ "Pollenward daemon" };
    std::string file;
    bool is_check_only = false;
    app.add_option("--settings", file, "TOML file with the settings")
        ->required();
    app.add_flag("--check", is_check_only, "check the settings and exit");
    try
    {
        app.parse(argc, argv);
    }
    catch (const CLI::ParseError& failure)
    {
        const int code = app.exit(failure);
        return code == 0
            ? 0
            : pollenward::main::to_int(pollenward::main::exit_code::bad_usage);
    }
    const auto chosen = load(file);
    if (!chosen)
    {
        return pollenward::main::to_int(pollenward::main::exit_code::bad_usage);
    }
    return is_check_only ? 0 : run(*chosen);
}
