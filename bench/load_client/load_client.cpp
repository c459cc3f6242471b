#include "core/endpoint.hpp"
#include "core/error.hpp"

#include <CLI/CLI.hpp>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <iostream>
#include <map>
#include <string>
#include <vector>

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using std::chrono::steady_clock;

constexpr auto token = asio::as_tuple(asio::use_awaitable);

/// Requests to send, and the rate and duration in seconds.
struct load_plan {
    std::string host;
    std::uint16_t port = 0;
    std::string method = "GET";
    std::string target = "/";
    std::string account = "anonymous";
    std::size_t body_bytes = 0;
    int connections = 8;
    int rate = 100;
    int seconds = 5;
    bool has_ids = false;
};

/// Latencies in microseconds and counts by outcome.
struct load_result {
    std::vector<std::int64_t> latencies;
    std::map<std::string, std::uint64_t> outcomes;
};

http::request<http::string_body> make_request(
    const load_plan& plan, std::uint64_t number)
{
    http::request<http::string_body> request;
    request.version(11);
    request.method_string(plan.method);
    request.target(plan.target);
    request.set(http::field::host, plan.host);
    request.set("Client-Account", plan.account);
    if (plan.has_ids)
    {
        const auto start = steady_clock::now().time_since_epoch().count();
        request.set("Request-Id",
            "load-" + std::to_string(start) + "-" + std::to_string(number));
    }
    request.body() = std::string(plan.body_bytes, 'x');
    request.prepare_payload();
    return request;
}

std::string outcome_of(const http::response<http::string_body>& response)
{
    const auto outcome = response["Request-Outcome"];
    return std::to_string(response.result_int())
        + (outcome.empty() ? "" : " " + std::string(outcome));
}

/// Sends the requests of one connection at fixed times. Latency counts from the
/// planned send time, so that it includes the delay by a slow earlier response.
asio::awaitable<void> run_connection(
    load_plan plan, int index, load_result& result)
{
    const auto executor = co_await asio::this_coro::executor;
    tcp::socket socket(executor);
    const tcp::endpoint remote(asio::ip::make_address(plan.host), plan.port);
    auto [connect_failure] = co_await socket.async_connect(remote, token);
    if (connect_failure)
    {
        ++result.outcomes["connect failed"];
        co_return;
    }
    socket.set_option(tcp::no_delay(true));
    boost::beast::flat_buffer buffer;
    asio::steady_timer timer(executor);
    const auto interval = std::chrono::nanoseconds(std::chrono::seconds(1))
        * plan.connections / plan.rate;
    const auto start
        = steady_clock::now() + interval * index / plan.connections;
    const auto end = start + std::chrono::seconds(plan.seconds);
    for (std::uint64_t i = 0; start + interval * i < end; ++i)
    {
        const auto planned = start + interval * i;
        timer.expires_at(planned);
        co_await timer.async_wait(token);
        const auto request = make_request(plan, i * 1000 + index);
        auto [write_failure, written]
            = co_await http::async_write(socket, request, token);
        http::response<http::string_body> response;
        auto [read_failure, read]
            = co_await http::async_read(socket, buffer, response, token);
        if (write_failure || read_failure)
        {
            ++result.outcomes["connection broke"];
            co_return;
        }
        ++result.outcomes[outcome_of(response)];
        result.latencies.push_back(
            std::chrono::duration_cast<std::chrono::microseconds>(
                steady_clock::now() - planned)
                .count());
    }
}

double percentile(const std::vector<std::int64_t>& sorted, double share)
{
    if (sorted.empty())
    {
        return 0;
    }
    const auto last = static_cast<double>(sorted.size() - 1);
    constexpr double us_per_ms = 1000;
    return static_cast<double>(sorted[static_cast<std::size_t>(last * share)])
        / us_per_ms;
}

void print(load_result& result, int seconds)
{
    std::sort(result.latencies.begin(), result.latencies.end());
    std::cout << "requests_per_s "
              << static_cast<double>(result.latencies.size()) / seconds << '\n';
    for (const double share : { 0.5, 0.99, 0.999 })
    {
        std::cout << "p" << share * 100 << "_ms "
                  << percentile(result.latencies, share) << '\n';
    }
    for (const auto& [outcome, count] : result.outcomes)
    {
        std::cout << "outcome " << outcome << ": " << count << '\n';
    }
}

} // namespace

int main(int argc, char** argv)
{
    CLI::App app{ "Sends HTTP requests at a fixed rate" };
    load_plan plan;
    std::string target;
    app.add_option("--to", target, "endpoint, IP address:port")->required();
    app.add_option("--method", plan.method, "HTTP method");
    app.add_option("--target", plan.target, "request target");
    app.add_option("--account", plan.account, "client account");
    app.add_option("--body", plan.body_bytes, "body size in bytes");
    app.add_option("--connections", plan.connections, "connections");
    app.add_option(
        "--rate", plan.rate, "requests per second over all connections");
    app.add_option("--seconds", plan.seconds, "duration in seconds");
    app.add_flag(
        "--ids", plan.has_ids, "send a unique Request-Id with each request");
    CLI11_PARSE(app, argc, argv);
    pollenward::core::error reason;
    const auto endpoint = pollenward::core::endpoint::create(target, reason);
    if (!endpoint || plan.rate < 1 || plan.connections < 1)
    {
        std::cerr << "invalid arguments: " << reason << '\n';
        return 2;
    }
    plan.host = endpoint->get_address();
    plan.port = endpoint->get_port();
    asio::io_context context(1);
    load_result result;
    for (int i = 0; i < plan.connections; ++i)
    {
        asio::co_spawn(
            context, run_connection(plan, i, result), asio::detached);
    }
    context.run();
    print(result, plan.seconds);
    return 0;
}
