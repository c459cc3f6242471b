#include "platform/object_client.hpp"

#include "core/runtime_timer.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <catch2/catch.hpp>

#include <deque>
#include <optional>
#include <string>
#include <vector>

using namespace pollenward;
using platform::update_state;

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;

constexpr auto token = asio::as_tuple(asio::use_awaitable);

/// What the fake service does with one request.
struct action {
    enum { respond, respond_then_close, close, stay_silent } kind = respond;
    unsigned status = 200;
    std::string body;
};

/// An object service on loopback that follows a script.
class fake_service {
public:
    explicit fake_service(asio::io_context& context)
        : acceptor(context, { asio::ip::address_v4::loopback(), 0 })
    {
        asio::co_spawn(context, this->accept_all(), asio::detached);
    }

    core::endpoint get_endpoint() const
    {
        core::error reason;
        return *core::endpoint::create("127.0.0.1:"
                + std::to_string(this->acceptor.local_endpoint().port()),
            reason);
    }

    std::deque<action> script;
    std::vector<std::string> requests;
    int connections = 0;

private:
    asio::awaitable<void> accept_all()
    {
        while (true)
        {
            auto [failure, socket]
                = co_await this->acceptor.async_accept(token);
            if (failure)
            {
                co_return;
            }
            ++this->connections;
            asio::co_spawn(this->acceptor.get_executor(),
                this->serve(std::move(socket)), asio::detached);
        }
    }

    asio::awaitable<void> serve(tcp::socket socket)
    {
        boost::beast::flat_buffer buffer;
        while (true)
        {
            http::request<http::string_body> request;
            auto [failure, count]
                = co_await http::async_read(socket, buffer, request, token);
            if (failure)
            {
                co_return;
            }
            this->requests.push_back(std::string(request.method_string()) + " "
                + std::string(request.target()) + " "
                + std::string(request[http::field::if_match]));
            const action next = this->script.front();
            this->script.pop_front();
            if (next.kind == action::close)
            {
                co_return;
            }
            if (next.kind == action::stay_silent)
            {
                continue;
            }
            http::response<http::string_body> response;
            response.result(next.status);
            response.body() = next.body;
            response.prepare_payload();
            co_await http::async_write(socket, response, token);
            if (next.kind == action::respond_then_close)
            {
                co_return;
            }
        }
    }

    tcp::acceptor acceptor;
};

struct fixture {
    asio::io_context context;
    fake_service service{ context };
    platform::object_client client{ service.get_endpoint() };

    template <class Result>
    Result run(asio::awaitable<Result> operation)
    {
        std::optional<Result> done;
        const auto store = [&]() -> asio::awaitable<void> {
            done = co_await std::move(operation);
        };
        asio::co_spawn(this->context, store, asio::detached);
        while (!done)
        {
            this->context.run_one();
        }
        return *done;
    }

    platform::update_result put(std::uint64_t expected)
    {
        return this->run(this->client.put(
            core::document_name("a"), core::version_number(expected), "value"));
    }

    platform::read_result get()
    {
        return this->run(this->client.get(core::document_name("a")));
    }
};

const std::string object_a = R"({"name":"a","version":3,"value":"x"})";

} // namespace

TEST_CASE("updates are conditional and share a connection", "[platform]")
{
    fixture test;
    test.service.script = { { action::respond, 200, R"({"version":4})" },
        { action::respond, 412, R"({"version":9})" } };
    CHECK(test.put(3)
        == platform::update_result::applied(core::version_number(4)));
    CHECK(test.put(4)
        == platform::update_result::conflict(core::version_number(9)));
    CHECK(test.service.connections == 1);
    CHECK(test.service.requests.at(0) == "PUT /v1/objects/a 3");
}

// Guards against a write that is sent twice: the first may have been applied.
TEST_CASE("a write without a response is not repeated", "[platform]")
{
    fixture test;
    test.service.script = { { action::respond, 200, R"({"version":4})" },
        { action::close, 0, "" },
        { action::respond, 200, R"({"version":6})" } };
    CHECK(test.put(3).get_state() == update_state::applied);
    CHECK(test.put(4).get_state() == update_state::unknown);
    CHECK(test.service.requests.size() == 2);
    CHECK(test.client.count_calls(platform::call_kind::put) == 2);
}

TEST_CASE("a read on a closed connection is sent again", "[platform]")
{
    fixture test;
    test.service.script = { { action::respond, 200, object_a },
        { action::close, 0, "" }, { action::respond, 200, object_a } };
    CHECK(test.get().get_object());
    CHECK(test.get().get_object());
    CHECK(test.client.count_calls(platform::call_kind::get) == 3);
}

// Guards against overwriting an object that could not be read.
TEST_CASE("an absent object differs from a failed call", "[platform]")
{
    fixture test;
    test.service.script = { { action::respond, 404, "{}" },
        { action::respond, 500, "{}" }, { action::respond, 200, "{}" },
        { action::close, 0, "" }, { action::close, 0, "" } };
    CHECK(test.get().get_state() == platform::read_state::absent);
    CHECK(test.get().get_state() == platform::read_state::unknown);
    CHECK(test.get().get_state() == platform::read_state::unknown);
    CHECK(test.get().get_state() == platform::read_state::unknown);
}

// Guards against a call that waits forever when no response arrives.
TEST_CASE("a silent service makes the result unknown in time", "[platform]")
{
    fixture test;
    test.service.script = { { action::stay_silent, 0, "" } };
    core::runtime_clock::pause();
    std::optional<platform::update_result> done;
    const auto store = [&]() -> asio::awaitable<void> {
        done = co_await test.client.put(
            core::document_name("a"), core::version_number(1), "value");
    };
    asio::co_spawn(test.context, store, asio::detached);
    while (test.service.requests.empty())
    {
        test.context.run_one();
    }
    CHECK_FALSE(done);
    core::runtime_clock::advance(core::seconds(3));
    core::wake_timers(test.context.get_executor());
    while (!done)
    {
        test.context.run_one();
    }
    CHECK(done->get_state() == update_state::unknown);
    core::runtime_clock::resume();
}
