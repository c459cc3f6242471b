#pragma once

#include "caller/http_server.hpp"

#include "core/run_due_timers.hpp"

#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>

namespace pollenward::caller::test {

namespace asio = boost::asio;
using core::runtime_clock;

class one_route {
public:
    std::optional<operators::kind_settings> find(
        std::string_view, std::string_view, std::string_view path) const
    {
        core::error reason;
        const auto kind = operators::kind_settings::create(
            core::kind_id("vote"), core::service_id("ballots"), false,
            core::rank::urgent, core::seconds(5),
            core::byte_count(path.ends_with("large") ? 1U << 20U : 10), reason);
        return path.starts_with("/votes") ? kind : std::nullopt;
    }

    core::milliseconds max_timeout() const { return core::seconds(60); }
    operators::ingress_limits ingress() const { return this->limits; }

    operators::ingress_limits limits;
};

/// Answers with the request's target. Requests whose target contains "hold"
/// wait until release() or until they are cancelled.
class echo_handler {
public:
    asio::awaitable<caller_answer> handle(caller_request request)
    {
        const std::string target = request.get_message().get_target();
        const bool is_waiting = target.find("hold") != std::string::npos;
        this->change([this] { ++this->started; });
        if (is_waiting)
        {
            core::runtime_timer timer(
                co_await asio::this_coro::executor, core::time_point::max());
            this->change([&] {
                this->release = [&timer] {
                    asio::post(
                        timer.get_executor(), [&timer] { timer.cancel(); });
                };
            });
            boost::system::error_code ignored;
            co_await timer.async_wait(
                asio::redirect_error(asio::use_awaitable, ignored));
            const auto state = co_await asio::this_coro::cancellation_state;
            const bool is_cancelled
                = state.cancelled() != asio::cancellation_type::none;
            this->change([&] { this->cancelled += is_cancelled ? 1 : 0; });
        }
        co_return caller_answer::make(
            outcome::answered(200), {}, core::shared_text::make(target));
    }

    /// Waits until the predicate, which is called under the lock, is true.
    template <class Predicate>
    void wait_for(Predicate predicate)
    {
        std::unique_lock lock(this->mutex);
        this->changed.wait(lock, predicate);
    }

    int started = 0;
    int cancelled = 0;
    std::function<void()> release;

private:
    template <class Change>
    void change(Change change)
    {
        const std::lock_guard lock(this->mutex);
        change();
        this->changed.notify_all();
    }

    std::mutex mutex;
    std::condition_variable changed;
};

/// A server on a loopback port with a paused clock. Without threads, the test
/// runs it by run_ready().
class server_test {
public:
    explicit server_test(int thread_count = 2)
    {
        runtime_clock::pause();
        core::error reason;
        REQUIRE(this->server.listen(
            *core::endpoint::create("127.0.0.1:0", reason), reason));
        for (int i = 0; i < thread_count; ++i)
        {
            this->threads.emplace_back([this] { this->context.run(); });
        }
    }

    ~server_test()
    {
        this->context.stop();
        this->threads.clear();
        runtime_clock::resume();
    }

    void advance(core::duration time)
    {
        runtime_clock::advance(time);
        core::wake_timers(this->context.get_executor());
    }

    /// For a server without threads of its own.
    void advance_and_run(core::duration time)
    {
        runtime_clock::advance(time);
        testing::run_due_timers(this->context);
    }

    /// Runs the server until it waits. What was sent over loopback is readable
    /// when the send returns.
    void run_ready() { this->context.poll(); }

    asio::io_context context{ 2 };
    one_route routes;
    echo_handler handler;
    /// Enough for one body, which takes 15 bytes or more.
    static constexpr std::size_t max_bodies = 20;
    static constexpr std::size_t max_connections = 8;
    http_server<one_route, echo_handler> server{ context, routes, handler,
        body_memory::make(core::memory_budget::make(max_bodies),
            core::memory_budget::make(0)),
        max_connections };
    std::vector<std::jthread> threads;
};

/// A caller with a blocking socket.
class caller_socket {
public:
    explicit caller_socket(const server_test& test)
        : caller_socket(test.server.get_port())
    {
    }

    explicit caller_socket(std::uint16_t port)
    {
        this->socket.connect({ asio::ip::make_address("127.0.0.1"), port });
    }

    void send(const std::string& text)
    {
        asio::write(this->socket, asio::buffer(text));
    }

    /// Everything up to and including `end`.
    std::string read_until(const std::string& end)
    {
        const auto count = asio::read_until(
            this->socket, asio::dynamic_buffer(this->buffer), end);
        std::string text = this->buffer.substr(0, count);
        this->buffer.erase(0, count);
        return text;
    }

    /// Everything until the server closes the connection.
    std::string read_all()
    {
        boost::system::error_code ended;
        asio::read(this->socket, asio::dynamic_buffer(this->buffer), ended);
        CHECK(ended == asio::error::eof);
        return this->buffer;
    }

    asio::io_context context;
    asio::ip::tcp::socket socket{ context };
    std::string buffer;
};

inline std::string get(
    const std::string& target, const std::string& fields = "")
{
    return "GET " + target + " HTTP/1.1\r\nHost: a\r\n" + fields + "\r\n";
}

inline bool has(const std::string& text, const std::string& part)
{
    return text.find(part) != std::string::npos;
}

} // namespace pollenward::caller::test
