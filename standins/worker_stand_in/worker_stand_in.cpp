#include "core/endpoint.hpp"
#include "core/error.hpp"

#include <CLI/CLI.hpp>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <csignal>
#include <iostream>
#include <string>

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using http_request = http::request<http::string_body>;
using http_response = http::response<http::string_body>;

constexpr auto token = asio::as_tuple(asio::use_awaitable);

http_response answer(const http_request& request, const std::string& name)
{
    http_response response(http::status::ok, 11);
    response.set("Worker", name);
    response.body() = std::string(request["Request-Id"]) + " "
        + std::string(request.target()) + "\n";
    response.prepare_payload();
    return response;
}

asio::awaitable<void> serve(tcp::socket socket, const std::string& name)
{
    boost::beast::flat_buffer buffer;
    while (true)
    {
        http_request request;
        auto [read_failure, read]
            = co_await http::async_read(socket, buffer, request, token);
        if (read_failure)
        {
            co_return;
        }
        const http_response response = answer(request, name);
        auto [write_failure, written]
            = co_await http::async_write(socket, response, token);
        if (write_failure || !request.keep_alive())
        {
            co_return;
        }
    }
}

asio::awaitable<void> accept_all(
    tcp::acceptor& acceptor, const std::string& name)
{
    while (true)
    {
        auto [failure, socket] = co_await acceptor.async_accept(token);
        if (!failure)
        {
            asio::co_spawn(acceptor.get_executor(),
                serve(std::move(socket), name), asio::detached);
        }
    }
}

} // namespace

int main(int argc, char** argv)
{
    CLI::App app{ "Stand-in for a worker" };
    std::string listen;
    std::string name;
    app.add_option("--listen", listen, "endpoint, IP number:port")->required();
    app.add_option("--name", name, "worker id")->required();
    CLI11_PARSE(app, argc, argv);
    pollenward::core::error reason;
    const auto endpoint = pollenward::core::endpoint::create(listen, reason);
    if (!endpoint)
    {
        std::cerr << reason << '\n';
        return 2;
    }
    asio::io_context context(1);
    tcp::acceptor acceptor(context,
        { asio::ip::make_address(endpoint->get_address()),
            endpoint->get_port() });
    asio::co_spawn(context, accept_all(acceptor, name), asio::detached);
    asio::signal_set signals(context, SIGINT, SIGTERM);
    signals.async_wait([&](auto, int) { context.stop(); });
    context.run();
    return 0;
}
