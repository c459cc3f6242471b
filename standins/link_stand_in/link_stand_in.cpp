#include "relay.hpp"

#include "core/endpoint.hpp"
#include "core/error.hpp"

#include <CLI/CLI.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include <csignal>
#include <iostream>
#include <string>

namespace {

namespace asio = boost::asio;
namespace core = pollenward::core;
using asio::ip::tcp;

tcp::endpoint to_tcp(const core::endpoint& endpoint)
{
    return { asio::ip::make_address(endpoint.get_address()),
        endpoint.get_port() };
}

int run(const core::endpoint& listen, const core::endpoint& target,
    const core::endpoint& admin)
{
    asio::io_context context(1);
    tcp::acceptor link_acceptor(context, to_tcp(listen));
    tcp::acceptor control_acceptor(context, to_tcp(admin));
    pollenward::link_stand_in::relay link_relay(to_tcp(target));
    asio::co_spawn(
        context, link_relay.accept_all(link_acceptor), asio::detached);
    asio::co_spawn(
        context, link_relay.accept_control(control_acceptor), asio::detached);
    asio::signal_set signals(context, SIGINT, SIGTERM);
    signals.async_wait([&](auto, int) { context.stop(); });
    context.run();
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    CLI::App app{
        "Stand-in for a network link that can be cut in each direction"
    };
    std::string listen;
    std::string target;
    std::string admin;
    app.add_option("--listen", listen, "endpoint to listen on")->required();
    app.add_option("--to", target, "endpoint to connect to")->required();
    app.add_option("--admin", admin, "endpoint of POST /control")->required();
    CLI11_PARSE(app, argc, argv);
    core::error reason;
    const auto from = core::endpoint::create(listen, reason);
    const auto to = core::endpoint::create(target, reason);
    const auto control = core::endpoint::create(admin, reason);
    if (!from || !to || !control)
    {
        std::cerr << reason << '\n';
        return 2;
    }
    try
    {
        return run(*from, *to, *control);
    }
    catch (const boost::system::system_error& failure)
    {
        std::cerr << "listen: " << failure.what() << '\n';
        return 1;
    }
}
