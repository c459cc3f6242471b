#include "platform/object_client.hpp"

#include "core/runtime_timer.hpp"
#include "platform/object_json.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <utility>

namespace pollenward::platform {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;

namespace {

    constexpr auto token = asio::as_tuple(asio::use_awaitable);
    constexpr core::seconds call_timeout{ 2 };
    /// Shorter than the idle limits of common servers and balancers (60 s), so
    /// that a kept connection is rarely one that the other side has closed.
    constexpr core::seconds idle_limit{ 15 };
    constexpr std::size_t kept_connections = 4;

    // Values are up to 1 MB; a watch may return many of them at once.
    constexpr std::uint64_t body_limit = 256UL * 1024 * 1024;

    http::request<http::string_body> make_request(const core::endpoint& service,
        const std::string& method, const std::string& target,
        const std::string& if_match, std::string body)
    {
        http::request<http::string_body> request(
            http::string_to_verb(method), target, 11, std::move(body));
        request.set(http::field::host, service.str());
        if (!if_match.empty())
        {
            request.set(http::field::if_match, if_match);
        }
        request.prepare_payload();
        return request;
    }

} // namespace

struct object_client::connection {
    explicit connection(const asio::any_io_executor& executor)
        : socket(executor)
    {
    }

    tcp::socket socket;
    boost::beast::flat_buffer buffer;
    core::time_point idle_since;
};

struct object_client::reply {
    unsigned status = 0;
    std::string body{};
    std::string cause{};
    /// The server closed a kept connection without a byte of response.
    bool is_stale_connection = false;
};

object_client::object_client(core::endpoint service)
    : service(std::move(service))
{
}

object_client::~object_client() = default;

std::unique_ptr<object_client::connection> object_client::take_idle(
    call_kind kind)
{
    const auto oldest = core::runtime_clock::now() - idle_limit;
    return this->idle.visit(
        kind, [] { return idle_list(); },
        [&](idle_list& list) -> std::unique_ptr<connection> {
            std::erase_if(list,
                [&](const auto& each) { return each->idle_since < oldest; });
            if (list.empty())
            {
                return nullptr;
            }
            auto newest = std::move(list.back());
            list.pop_back();
            return newest;
        });
}

void object_client::keep_idle(call_kind kind, std::unique_ptr<connection> used)
{
    used->idle_since = core::runtime_clock::now();
    this->idle.visit(
        kind, [] { return idle_list(); },
        [&](idle_list& list) {
            if (list.size() < kept_connections)
            {
                list.push_back(std::move(used));
            }
        });
}

asio::awaitable<std::unique_ptr<object_client::connection>>
object_client::connect(std::string& cause) const
{
    auto fresh
        = std::make_unique<connection>(co_await asio::this_coro::executor);
    const tcp::endpoint remote(
        asio::ip::make_address(this->service.get_address()),
        this->service.get_port());
    const auto [failure] = co_await fresh->socket.async_connect(remote, token);
    if (failure)
    {
        cause = failure.message();
        co_return nullptr;
    }
    fresh->socket.set_option(tcp::no_delay(true));
    co_return fresh;
}

asio::awaitable<object_client::reply> object_client::exchange(call_kind kind,
    std::unique_ptr<connection> used, std::string method, std::string target,
    std::string if_match, std::string body)
{
    const bool is_reused = used != nullptr;
    reply done;
    if (!is_reused)
    {
        used = co_await this->connect(done.cause);
        if (!used)
        {
            co_return done;
        }
    }
    const auto request = make_request(
        this->service, method, target, if_match, std::move(body));
    const auto [write_failure, written]
        = co_await http::async_write(used->socket, request, token);
    http::response_parser<http::string_body> incoming;
    incoming.body_limit(body_limit);
    const auto [read_failure, count] = co_await http::async_read(
        used->socket, used->buffer, incoming, token);
    if (write_failure || read_failure)
    {
        const auto& first = write_failure ? write_failure : read_failure;
        done.cause = first.message();
        done.is_stale_connection = is_reused && count == 0;
        co_return done;
    }
    done.status = incoming.get().result_int();
    done.body = std::move(incoming.get().body());
    if (incoming.get().keep_alive())
    {
        this->keep_idle(kind, std::move(used));
    }
    co_return done;
}

asio::awaitable<object_client::reply> object_client::call(call_kind kind,
    std::string method, std::string target, std::string if_match,
    std::string body, core::duration limit)
{
    const auto expiry = core::runtime_clock::now() + limit;
    ++this->calls[static_cast<std::size_t>(kind)];
    auto done = co_await core::with_deadline(
        this->exchange(
            kind, this->take_idle(kind), method, target, if_match, body),
        expiry);
    // Only reads are sent again: a write whose connection closed without a
    // response may have taken effect.
    if (done && done->is_stale_connection && kind != call_kind::put)
    {
        ++this->calls[static_cast<std::size_t>(kind)];
        done = co_await core::with_deadline(
            this->exchange(kind, nullptr, method, target, if_match, body),
            expiry);
    }
    co_return done ? std::move(*done) : reply{ .cause = "no response in time" };
}

core::error object_client::fault(
    const std::string& step, const std::string& cause) const
{
    return core::error::make(step, this->service.str(), cause);
}

asio::awaitable<read_result> object_client::get(core::document_name name)
{
    const auto done = co_await this->call(call_kind::get, "GET",
        "/v1/objects/" + name.str(), {}, {}, call_timeout);
    const std::string step = "get object " + name.str();
    if (done.status == 0)
    {
        co_return read_result::unknown(this->fault(step, done.cause));
    }
    if (done.status == 404)
    {
        co_return read_result::absent();
    }
    auto object = done.status == 200 ? decode_object(done.body) : std::nullopt;
    if (!object || object->get_name() != name)
    {
        co_return read_result::unknown(this->fault(step,
            "status " + std::to_string(done.status)
                + " without the object asked for"));
    }
    co_return read_result::found(std::move(*object));
}

asio::awaitable<update_result> object_client::put(
    core::document_name name, core::version_number expected, std::string value)
{
    const auto done = co_await this->call(call_kind::put, "PUT",
        "/v1/objects/" + name.str(), std::to_string(expected.get()),
        std::move(value), call_timeout);
    const std::string step = "put object " + name.str();
    if (done.status == 0)
    {
        co_return update_result::unknown(this->fault(step, done.cause));
    }
    const auto version = decode_version(done.body);
    if (version && done.status == 200)
    {
        co_return update_result::applied(*version);
    }
    if (version && done.status == 412)
    {
        co_return update_result::conflict(*version);
    }
    co_return update_result::unknown(this->fault(
        step, "status " + std::to_string(done.status) + " without a version"));
}

asio::awaitable<watch_result> object_client::watch(
    store_revision after, core::milliseconds wait)
{
    const auto done = co_await this->call(call_kind::watch, "GET",
        "/v1/watch?after=" + std::to_string(after.get())
            + "&wait_ms=" + std::to_string(wait.count()),
        {}, {}, wait + call_timeout);
    if (done.status == 0)
    {
        co_return watch_result::failed(
            this->fault("watch objects", done.cause));
    }
    auto changes
        = done.status == 200 ? decode_changes(done.body) : std::nullopt;
    if (!changes)
    {
        co_return watch_result::failed(this->fault("watch objects",
            "status " + std::to_string(done.status)
                + " without a change list"));
    }
    co_return std::move(*changes);
}

std::uint64_t object_client::count_calls(call_kind kind) const
{
    return this->calls[static_cast<std::size_t>(kind)].load();
}

std::uint64_t object_client::count_calls() const
{
    std::uint64_t total = 0;
    for (const auto& each : this->calls)
    {
        total += each.load();
    }
    return total;
}

} // namespace pollenward::platform
