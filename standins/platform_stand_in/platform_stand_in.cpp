#include "core/endpoint.hpp"
#include "core/error.hpp"
#include "object_service.hpp"

#include <CLI/CLI.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include <csignal>
#include <iostream>
#include <string>

int main(int argc, char** argv)
{
    namespace asio = boost::asio;
    CLI::App app{ "Stand-in for the platform's object service" };
    std::string listen;
    std::string file;
    app.add_option("--listen", listen, "endpoint, IP address:port")->required();
    app.add_option(
        "--load", file, "JSON file that maps object names to values");
    CLI11_PARSE(app, argc, argv);
    pollenward::core::error reason;
    const auto endpoint = pollenward::core::endpoint::create(listen, reason);
    if (!endpoint)
    {
        std::cerr << reason << '\n';
        return 2;
    }
    asio::io_context context(1);
    platform_stand_in::object_service store(context.get_executor());
    if (!file.empty())
    {
        store.load(file);
    }
    asio::ip::tcp::acceptor acceptor(context,
        { asio::ip::make_address(endpoint->get_address()),
            endpoint->get_port() });
    asio::co_spawn(context, store.accept_all(acceptor), asio::detached);
    asio::signal_set signals(context, SIGINT, SIGTERM);
    signals.async_wait([&](auto, int) { context.stop(); });
    context.run();
    return 0;
}
