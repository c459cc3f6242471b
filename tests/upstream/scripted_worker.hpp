#pragma once

#include "core/runtime_timer.hpp"
#include "upstream/forward_request.hpp"
#include "upstream/worker.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/write.hpp>

#include <exception>
#include <functional>
#include <optional>
#include <string>
#include <utility>

namespace pollenward::upstream::testing {

namespace asio = boost::asio;
using asio::ip::tcp;

/// A worker on loopback that runs a test's coroutine on each connection, with
/// the connection's number from 1.
class scripted_worker {
public:
    using connection_handler
        = std::function<asio::awaitable<void>(tcp::socket&, int)>;

    scripted_worker(
        asio::io_context& context, connection_handler handle_connection)
        : acceptor(context, { asio::ip::make_address("127.0.0.1"), 0 })
        , handle_connection(std::move(handle_connection))
    {
        asio::co_spawn(context, this->accept_all(), asio::detached);
    }

    worker get_worker(const std::string& id = "worker") const
    {
        core::error reason;
        const auto port = this->acceptor.local_endpoint().port();
        return worker::make(core::worker_id(id),
            *core::endpoint::create(
                "127.0.0.1:" + std::to_string(port), reason),
            core::zone_id("zone"), false);
    }

private:
    asio::awaitable<void> accept_all()
    {
        for (int number = 1;; ++number)
        {
            auto socket
                = co_await this->acceptor.async_accept(asio::use_awaitable);
            asio::co_spawn(this->acceptor.get_executor(),
                this->serve(std::move(socket), number), asio::detached);
        }
    }

    asio::awaitable<void> serve(tcp::socket socket, int number)
    {
        co_await this->handle_connection(socket, number);
    }

    tcp::acceptor acceptor;
    connection_handler handle_connection;
};

/// Reads the header of the next request; empty at the end of the connection.
/// Test requests have no body.
inline asio::awaitable<std::string> read_header(tcp::socket& socket)
{
    std::string text;
    auto [failure, count]
        = co_await asio::async_read_until(socket, asio::dynamic_buffer(text),
            "\r\n\r\n", asio::as_tuple(asio::use_awaitable));
    co_return failure ? std::string() : text;
}

inline std::string request_id_of(const std::string& header)
{
    const std::string name = "Request-Id: ";
    const auto start = header.find(name) + name.size();
    return header.substr(start, header.find('\r', start) - start);
}

/// A response whose body and header name the request.
inline std::string answer_text(
    const std::string& id, const std::string& status = "200 OK")
{
    return "HTTP/1.1 " + status + "\r\nRequest-Id: " + id
        + "\r\nContent-Length: " + std::to_string(id.size()) + "\r\n\r\n" + id;
}

inline std::string refusal_text(const std::string& state)
{
    return "HTTP/1.1 503 x\r\nWorker-State: " + state
        + "\r\nContent-Length: 0\r\n\r\n";
}

inline asio::awaitable<void> send_text(tcp::socket& socket, std::string text)
{
    co_await asio::async_write(
        socket, asio::buffer(text), asio::as_tuple(asio::use_awaitable));
}

/// Answers every request on the connection.
inline asio::awaitable<void> answer_all(tcp::socket& socket)
{
    while (true)
    {
        const auto header = co_await read_header(socket);
        if (header.empty())
        {
            co_return;
        }
        co_await send_text(socket, answer_text(request_id_of(header)));
    }
}

inline forward_request make_request(const std::string& id, bool is_idempotent,
    core::duration timeout = core::seconds(30))
{
    return forward_request::make(core::request_id(id),
        core::service_id("service"), core::kind_id("kind"),
        core::rank::standard, is_idempotent,
        core::runtime_clock::now() + timeout,
        request_message::make("POST", "/work", {}, {}));
}

/// Runs the context until the coroutine ends.
template <class Result>
Result run_to_end(asio::io_context& context, asio::awaitable<Result> task)
{
    std::optional<Result> result;
    std::exception_ptr fault;
    asio::co_spawn(asio::make_strand(context), std::move(task),
        [&](std::exception_ptr thrown, Result value) {
            fault = thrown;
            result = std::move(value);
            context.stop();
        });
    context.restart();
    context.run();
    if (fault)
    {
        std::rethrow_exception(fault);
    }
    return std::move(*result);
}

/// An event that one coroutine of a test waits for and another one sets.
class event {
public:
    explicit event(asio::io_context& context)
        : timer(context, core::time_point::max())
    {
    }

    void set()
    {
        this->happened = true;
        this->timer.cancel();
    }

    asio::awaitable<void> wait()
    {
        boost::system::error_code ignored;
        if (!this->happened)
        {
            co_await this->timer.async_wait(
                asio::redirect_error(asio::use_awaitable, ignored));
        }
    }

private:
    core::runtime_timer timer;
    bool happened = false;
};

/// Pauses the runtime's clock for one test.
class paused_clock {
public:
    paused_clock() { core::runtime_clock::pause(); }
    paused_clock(const paused_clock&) = delete;
    paused_clock& operator=(const paused_clock&) = delete;
    ~paused_clock() { core::runtime_clock::resume(); }

    void advance(asio::io_context& context, core::duration step)
    {
        core::runtime_clock::advance(step);
        core::wake_timers(context.get_executor());
    }
};

} // namespace pollenward::upstream::testing
