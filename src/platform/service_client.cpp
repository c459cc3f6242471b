#include "platform/service_client.hpp"

#include "core/runtime_timer.hpp"
#include "core/tcp_keepalive.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <utility>

namespace pollenward::platform {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;

namespace {

    constexpr auto tuple_awaitable = asio::as_tuple(asio::use_awaitable);
    /// Shorter than the idle limits of common servers and balancers (60 s), so
    /// that a reused connection has rarely been closed by the server.
    constexpr core::seconds max_idle_time{ 15 };
    constexpr std::size_t max_idle_connections = 4;
    /// Longest time for which a response that arrives slowly is read.
    constexpr core::seconds max_call_time{ 10 };
    /// A waiting watch has nothing to send, so only keepalive probes detect a
    /// silent connection, after 3 s.
    constexpr core::keepalive_times service_keepalive{ 1, 1, 2, 3000 };

    // Values are up to 1 MB; a watch may return many of them at once.
    constexpr std::uint64_t max_response_bytes = 256UL * 1024 * 1024;

    http::request<http::string_body> make_request(
        const core::endpoint& service, const service_call& call)
    {
        http::request<http::string_body> request(
            http::string_to_verb(call.method), call.target, 11, call.body);
        request.set(http::field::host, service.str());
        for (const auto& field : call.headers)
        {
            request.set(field.get_name(), field.get_value());
        }
        request.prepare_payload();
        return request;
    }

} // namespace

struct service_client::connection {
    explicit connection(const asio::any_io_executor& executor)
        : socket(executor)
    {
    }

    tcp::socket socket;
    boost::beast::flat_buffer buffer;
    core::time_point idle_since;
};

service_client::service_client(core::endpoint service)
    : service(std::move(service))
{
}

service_client::~service_client() = default;

std::unique_ptr<service_client::connection> service_client::acquire_idle(
    call_kind kind)
{
    const auto oldest = core::runtime_clock::now() - max_idle_time;
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

void service_client::store_idle(
    call_kind kind, std::unique_ptr<connection> opened)
{
    opened->idle_since = core::runtime_clock::now();
    this->idle.visit(
        kind, [] { return idle_list(); },
        [&](idle_list& list) {
            if (list.size() < max_idle_connections)
            {
                list.push_back(std::move(opened));
            }
        });
}

asio::awaitable<std::unique_ptr<service_client::connection>>
service_client::connect(std::string& cause) const
{
    auto fresh
        = std::make_unique<connection>(co_await asio::this_coro::executor);
    const tcp::endpoint remote(
        asio::ip::make_address(this->service.get_address()),
        this->service.get_port());
    const auto [failure]
        = co_await fresh->socket.async_connect(remote, tuple_awaitable);
    if (failure)
    {
        cause = failure.message();
        co_return nullptr;
    }
    fresh->socket.set_option(tcp::no_delay(true));
    core::set_keepalive(fresh->socket.native_handle(), service_keepalive);
    co_return fresh;
}

asio::awaitable<service_reply> service_client::exchange(
    std::unique_ptr<connection> opened, const service_call& call,
    core::time_point& expiry)
{
    const auto last_expiry = core::runtime_clock::now() + max_call_time;
    const bool is_reused = opened != nullptr;
    service_reply reply;
    if (!is_reused)
    {
        opened = co_await this->connect(reply.cause);
        if (!opened)
        {
            co_return reply;
        }
    }
    const auto request = make_request(this->service, call);
    const auto [write_failure, written]
        = co_await http::async_write(opened->socket, request, tuple_awaitable);
    http::response_parser<http::string_body> incoming;
    incoming.body_limit(max_response_bytes);
    std::size_t count = 0;
    boost::system::error_code read_failure;
    while (!write_failure && !read_failure && !incoming.is_done())
    {
        const auto [ended, size] = co_await http::async_read_some(
            opened->socket, opened->buffer, incoming, tuple_awaitable);
        read_failure = ended;
        count += size;
        const auto extended
            = core::runtime_clock::now() + call.progress_timeout;
        expiry = std::max(expiry, std::min(extended, last_expiry));
    }
    if (write_failure || read_failure)
    {
        const auto& first = write_failure ? write_failure : read_failure;
        reply.cause = first.message();
        reply.is_stale_connection = is_reused && count == 0;
        co_return reply;
    }
    reply.status = incoming.get().result_int();
    for (const auto& each : incoming.get())
    {
        reply.headers.push_back(core::header_field::make(
            std::string(each.name_string()), std::string(each.value())));
    }
    reply.body = std::move(incoming.get().body());
    if (incoming.get().keep_alive())
    {
        this->store_idle(call.kind, std::move(opened));
    }
    co_return reply;
}

asio::awaitable<service_reply> service_client::call(service_call call)
{
    auto expiry = core::runtime_clock::now() + call.timeout;
    const auto count
        = [&] { ++this->calls[static_cast<std::size_t>(call.kind)]; };
    count();
    auto reply = co_await core::with_moving_deadline(
        this->exchange(this->acquire_idle(call.kind), call, expiry), expiry);
    if (reply && reply->is_stale_connection && call.kind != call_kind::put)
    {
        count();
        reply = co_await core::with_moving_deadline(
            this->exchange(nullptr, call, expiry), expiry);
    }
    co_return reply ? std::move(*reply)
                    : service_reply{ .cause = "no response in time" };
}

core::error service_client::make_error(
    const std::string& step, const std::string& cause) const
{
    return core::error::make(step, this->service.str(), cause);
}

std::uint64_t service_client::count_calls(call_kind kind) const
{
    return this->calls[static_cast<std::size_t>(kind)].load();
}

std::uint64_t service_client::count_calls() const
{
    std::uint64_t total = 0;
    for (const auto& each : this->calls)
    {
        total += each.load();
    }
    return total;
}

} // namespace pollenward::platform
