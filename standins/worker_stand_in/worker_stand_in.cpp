#include "behaviour.hpp"
#include "worker_model.hpp"
#include "worker_server.hpp"

#include "core/endpoint.hpp"
#include "core/error.hpp"

#include <CLI/CLI.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/signal_set.hpp>

#include <csignal>
#include <iostream>
#include <string>

namespace {

namespace asio = boost::asio;
namespace core = pollenward::core;
namespace stand_in = pollenward::worker_stand_in;
using asio::ip::tcp;

/// Refuses new requests for `drain_time`, then stops once no request runs or
/// waits.
asio::awaitable<void> drain(asio::io_context& context,
    stand_in::worker_model& model, core::milliseconds drain_time)
{
    model.set_behaviour(model.get_behaviour().with_draining(true));
    co_await core::wait_until(core::runtime_clock::now() + drain_time);
    model.call_when_idle([&] { context.stop(); });
}

/// Drains on SIGTERM; stops at once on SIGINT or a second SIGTERM.
asio::awaitable<void> handle_signals(asio::io_context& context,
    stand_in::worker_model& model, core::milliseconds drain_time)
{
    asio::signal_set signals(context, SIGINT, SIGTERM);
    if (co_await signals.async_wait(asio::use_awaitable) == SIGTERM)
    {
        asio::co_spawn(
            context, drain(context, model, drain_time), asio::detached);
        co_await signals.async_wait(asio::use_awaitable);
    }
    context.stop();
}

int run(const core::endpoint& endpoint, const std::string& name,
    const stand_in::behaviour& start, core::milliseconds drain_time,
    bool prints_runs)
{
    asio::io_context context(1);
    boost::system::error_code failure;
    const tcp::endpoint local(
        asio::ip::make_address(endpoint.get_address()), endpoint.get_port());
    tcp::acceptor acceptor(context);
    acceptor.open(local.protocol());
    acceptor.set_option(tcp::acceptor::reuse_address(true));
    acceptor.bind(local, failure);
    if (failure)
    {
        std::cerr << "bind " << endpoint.str() << ": " << failure.message()
                  << '\n';
        return 1;
    }
    acceptor.listen();
    stand_in::worker_model model(context, start);
    stand_in::worker_server server(model, name);
    std::cout << "listening on " << acceptor.local_endpoint() << std::endl;
    asio::co_spawn(context, server.accept_all(acceptor), asio::detached);
    asio::co_spawn(
        context, handle_signals(context, model, drain_time), asio::detached);
    context.run();
    if (prints_runs)
    {
        std::cout << model.get_counts().to_json() << std::endl;
    }
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    CLI::App app{ "Stand-in for a worker" };
    std::string listen;
    std::string name;
    std::string behaviour_json = "{}";
    int drain_ms = 1000;
    bool prints_runs = false;
    app.add_option(
           "--listen", listen, "endpoint, IP address:port; port 0 for any")
        ->required();
    app.add_option("--name", name, "worker id")->required();
    app.add_option(
        "--behaviour", behaviour_json, "JSON object as in POST /control");
    app.add_option("--drain-ms", drain_ms,
        "time in ms for which new requests are refused after SIGTERM");
    app.add_flag("--print-runs", prints_runs, "print GET /runs on exit");
    CLI11_PARSE(app, argc, argv);
    core::error reason;
    const auto endpoint = core::endpoint::create(listen, reason);
    const auto start = stand_in::behaviour().with_json(behaviour_json, reason);
    if (!endpoint || !start)
    {
        std::cerr << reason << '\n';
        return 2;
    }
    return run(
        *endpoint, name, *start, core::milliseconds(drain_ms), prints_runs);
}
