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
#include <nlohmann/json.hpp>

#include <csignal>
#include <cstdint>
#include <fstream>
#include <iostream>
#include <map>
#include <string>

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using http_request = http::request<http::string_body>;
using http_response = http::response<http::string_body>;
using nlohmann::json;

constexpr auto token = asio::as_tuple(asio::use_awaitable);

struct object {
    std::uint64_t version = 0;
    std::string value;
};

/// The objects of the store. Used from one thread.
class object_store {
public:
    void load(const std::string& file)
    {
        std::ifstream input(file);
        const json loaded = json::parse(input);
        for (const auto& [name, value] : loaded.items())
        {
            this->objects[name] = { 1, value.dump() };
        }
    }

    http_response answer(const http_request& request)
    {
        const std::string prefix = "/v1/objects/";
        const std::string target(request.target());
        if (target.rfind(prefix, 0) != 0)
        {
            return respond(http::status::not_found, json::object());
        }
        const std::string name = target.substr(prefix.size());
        return request.method() == http::verb::put ? this->put(name, request)
                                                   : this->get(name);
    }

private:
    http_response get(const std::string& name) const
    {
        const auto found = this->objects.find(name);
        if (found == this->objects.end())
        {
            return respond(http::status::not_found, json::object());
        }
        return respond(http::status::ok,
            { { "name", name }, { "version", found->second.version },
                { "value", found->second.value } });
    }

    http_response put(const std::string& name, const http_request& request)
    {
        object& present = this->objects[name];
        if (std::to_string(present.version) != request[http::field::if_match])
        {
            return respond(http::status::precondition_failed,
                { { "version", present.version } });
        }
        present = { present.version + 1, request.body() };
        return respond(http::status::ok, { { "version", present.version } });
    }

    static http_response respond(http::status status, const json& body)
    {
        http_response response(status, 11);
        response.body() = body.dump();
        response.prepare_payload();
        return response;
    }

    std::map<std::string, object> objects;
};

asio::awaitable<void> serve(tcp::socket socket, object_store& store)
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
        const http_response response = store.answer(request);
        auto [write_failure, written]
            = co_await http::async_write(socket, response, token);
        if (write_failure || !request.keep_alive())
        {
            co_return;
        }
    }
}

asio::awaitable<void> accept_all(tcp::acceptor& acceptor, object_store& store)
{
    while (true)
    {
        auto [failure, socket] = co_await acceptor.async_accept(token);
        if (!failure)
        {
            asio::co_spawn(acceptor.get_executor(),
                serve(std::move(socket), store), asio::detached);
        }
    }
}

} // namespace

int main(int argc, char** argv)
{
    CLI::App app{ "Stand-in for the platform's object service" };
    std::string listen;
    std::string file;
    app.add_option("--listen", listen, "endpoint, IP number:port")->required();
    app.add_option("--load", file, "JSON file, object name to value");
    CLI11_PARSE(app, argc, argv);
    pollenward::core::error reason;
    const auto endpoint = pollenward::core::endpoint::create(listen, reason);
    if (!endpoint)
    {
        std::cerr << reason << '\n';
        return 2;
    }
    object_store store;
    if (!file.empty())
    {
        store.load(file);
    }
    asio::io_context context(1);
    tcp::acceptor acceptor(context,
        { asio::ip::make_address(endpoint->get_address()),
            endpoint->get_port() });
    asio::co_spawn(context, accept_all(acceptor, store), asio::detached);
    asio::signal_set signals(context, SIGINT, SIGTERM);
    signals.async_wait([&](auto, int) { context.stop(); });
    context.run();
    return 0;
}
