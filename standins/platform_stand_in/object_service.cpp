#include "object_service.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <fstream>
#include <utility>

namespace platform_stand_in {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using nlohmann::json;

namespace {

    constexpr auto token = asio::as_tuple(asio::use_awaitable);
    const std::string object_prefix = "/v1/objects/";
    const std::string watch_prefix = "/v1/watch?";

    http_response respond(http::status status, const json& body)
    {
        http_response response(status, 11);
        response.body() = body.dump();
        response.prepare_payload();
        return response;
    }

    json to_json(const object& value)
    {
        return { { "name", value.name }, { "version", value.version },
            { "value", value.value } };
    }

    std::uint64_t query_parameter(
        const std::string& target, const std::string& key)
    {
        const auto at = target.find(key + "=");
        return at == std::string::npos
            ? 0
            : std::strtoull(target.c_str() + at + key.size() + 1, nullptr, 10);
    }

} // namespace

object_service::object_service(const asio::any_io_executor& executor)
    : executor(executor)
    , change_signal(executor, asio::steady_timer::time_point::max())
{
}

void object_service::load(const std::string& file)
{
    std::ifstream input(file);
    const json loaded = json::parse(input);
    for (const auto& [name, value] : loaded.items())
    {
        this->objects.put(name, 0, value.dump());
    }
}

asio::awaitable<void> object_service::wait(std::chrono::milliseconds delay)
{
    asio::steady_timer timer(this->executor, delay);
    co_await timer.async_wait(token);
}

http_response object_service::get(const std::string& name) const
{
    const auto found = this->objects.find(name);
    return found ? respond(http::status::ok, to_json(*found))
                 : respond(http::status::not_found, json::object());
}

http_response object_service::put(
    const std::string& name, const http_request& request)
{
    if (this->active_faults.racing_writes > 0)
    {
        --this->active_faults.racing_writes;
        this->objects.touch(name);
    }
    const std::string condition(request[http::field::if_match]);
    const bool is_written = this->objects.put(
        name, std::strtoull(condition.c_str(), nullptr, 10), request.body());
    const auto found = this->objects.find(name);
    this->change_signal.cancel();
    return respond(
        is_written ? http::status::ok : http::status::precondition_failed,
        { { "version", found ? found->version : 0 } });
}

asio::awaitable<http_response> object_service::watch(const std::string& target)
{
    using namespace asio::experimental::awaitable_operators;
    const std::uint64_t after = query_parameter(target, "after");
    const auto expiry = std::chrono::steady_clock::now()
        + std::chrono::milliseconds(query_parameter(target, "wait_ms"));
    while (this->objects.get_revision() == after
        && std::chrono::steady_clock::now() < expiry)
    {
        asio::steady_timer timer(this->executor, expiry);
        co_await (
            timer.async_wait(token) || this->change_signal.async_wait(token));
    }
    json body{ { "era", this->objects.get_era() },
        { "revision", this->objects.get_revision() },
        { "objects", json::array() } };
    for (const object& each : this->objects.changed_since(after))
    {
        body["objects"].push_back(to_json(each));
    }
    co_return respond(http::status::ok, body);
}

http_response object_service::change_faults(const std::string& body)
{
    const auto wanted = read_control_command(body, this->active_faults);
    if (!wanted)
    {
        return respond(http::status::bad_request,
            { { "cause", "unknown key or wrong type" } });
    }
    this->active_faults = wanted->wanted_faults;
    if (wanted->takes_snapshot)
    {
        this->objects.take_snapshot();
    }
    if (wanted->restores_snapshot && !this->objects.restore_snapshot())
    {
        return respond(
            http::status::conflict, { { "cause", "no snapshot was taken" } });
    }
    this->change_signal.cancel();
    return respond(http::status::ok, json::object());
}

http_response object_service::report_calls() const
{
    return respond(http::status::ok, this->calls);
}

asio::awaitable<std::optional<http_response>> object_service::answer_call(
    const http_request& request, const std::string& target)
{
    const bool is_put = request.method() == http::verb::put;
    const bool is_watch = target.rfind(watch_prefix, 0) == 0;
    ++this->calls[is_put ? "put" : is_watch ? "watch" : "get"];
    if (this->active_faults.has_outage)
    {
        co_return std::nullopt;
    }
    co_await this->wait(this->active_faults.delay);
    std::optional<http_response> response;
    if (is_watch)
    {
        response = co_await this->watch(target);
    }
    else
    {
        const std::string name = target.substr(object_prefix.size());
        response = is_put ? this->put(name, request) : this->get(name);
    }
    const bool is_lost = is_put && this->active_faults.lost_responses > 0;
    this->active_faults.lost_responses -= is_lost ? 1 : 0;
    if (is_lost || this->active_faults.has_outage)
    {
        co_return std::nullopt;
    }
    while (this->active_faults.is_one_way)
    {
        co_await this->change_signal.async_wait(token);
    }
    co_return response;
}

asio::awaitable<std::optional<http_response>> object_service::answer(
    const http_request& request)
{
    const std::string target(request.target());
    if (target == "/control" && request.method() == http::verb::post)
    {
        co_return this->change_faults(request.body());
    }
    if (target == "/calls")
    {
        co_return this->report_calls();
    }
    if (target.rfind(object_prefix, 0) == 0
        || target.rfind(watch_prefix, 0) == 0)
    {
        co_return co_await this->answer_call(request, target);
    }
    co_return respond(http::status::not_found, json::object());
}

asio::awaitable<void> object_service::serve(tcp::socket socket)
{
    boost::beast::flat_buffer buffer;
    while (true)
    {
        http::request_parser<http::string_body> incoming;
        incoming.body_limit(2UL * 1024 * 1024);
        auto [read_failure, read]
            = co_await http::async_read(socket, buffer, incoming, token);
        if (read_failure)
        {
            co_return;
        }
        const auto response = co_await this->answer(incoming.get());
        if (!response)
        {
            co_return;
        }
        auto [write_failure, written]
            = co_await http::async_write(socket, *response, token);
        if (write_failure || !incoming.get().keep_alive())
        {
            co_return;
        }
    }
}

asio::awaitable<void> object_service::accept_all(tcp::acceptor& acceptor)
{
    while (true)
    {
        auto [failure, socket] = co_await acceptor.async_accept(token);
        if (!failure)
        {
            asio::co_spawn(
                this->executor, this->serve(std::move(socket)), asio::detached);
        }
    }
}

} // namespace platform_stand_in
