#include "operators/admin_server.hpp"

#include "operators/configuration_json.hpp"
#include "operators/status_json.hpp"

#include <boost/beast/http.hpp>
#include <catch2/catch.hpp>

using namespace pollenward;
using namespace pollenward::operators;

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;

struct fake_backend {
    fleet_status status()
    {
        return fleet_status::make(core::daemon_id("d1"),
            core::version_number(7),
            { daemon_version::make(
                  core::daemon_id("d1"), core::version_number(7)),
                daemon_version::make(
                    core::daemon_id("d2"), core::version_number(6)) });
    }

    metrics_snapshot metrics() { return metrics_snapshot::make({}, {}, {}); }

    std::optional<configuration> configuration_in_force()
    {
        return std::nullopt;
    }

    bool is_ready() { return this->ready; }

    asio::awaitable<patch_reply> apply(patch wanted)
    {
        this->applied.push_back(wanted);
        co_return this->reply;
    }

    bool ready = false;
    std::vector<patch> applied;
    patch_reply reply
        = patch_reply::make(patch_outcome::accepted, core::version_number(8));
};

struct fixture {
    fixture()
    {
        core::error reason;
        REQUIRE(this->server.listen(
            *core::endpoint::create("127.0.0.1:0", reason), reason));
        asio::co_spawn(this->context, this->connect(), asio::detached);
        while (!this->is_connected)
        {
            this->context.run_one();
        }
    }

    /// Sends a request on the persistent connection.
    admin_response call(admin_request request)
    {
        std::optional<admin_response> done;
        const auto exchange = [&]() -> asio::awaitable<void> {
            request.prepare_payload();
            co_await http::async_write(
                this->socket, request, asio::use_awaitable);
            admin_response response;
            co_await http::async_read(
                this->socket, this->buffer, response, asio::use_awaitable);
            done = std::move(response);
        };
        asio::co_spawn(this->context, exchange, asio::detached);
        while (!done)
        {
            this->context.run_one();
        }
        return *done;
    }

    admin_response get(const char* target)
    {
        return this->call(admin_request(http::verb::get, target, 11));
    }

    admin_response post(const std::string& body)
    {
        return this->call(admin_request(http::verb::post, "/patch", 11, body));
    }

    asio::awaitable<void> connect()
    {
        co_await this->socket.async_connect(
            { asio::ip::address_v4::loopback(), this->server.get_port() },
            asio::use_awaitable);
        this->is_connected = true;
    }

    asio::io_context context;
    fake_backend backend;
    admin_server<fake_backend> server{ context, backend };
    asio::ip::tcp::socket socket{ context };
    boost::beast::flat_buffer buffer;
    bool is_connected = false;
};

} // namespace

TEST_CASE("the admin server reports status and readiness", "[operators]")
{
    fixture test;
    const auto status = decode_status(test.get("/status").body());
    REQUIRE(status);
    CHECK(*status == test.backend.status());
    CHECK(status->get_confirmed_count() == 1);
    CHECK(status->get_unconfirmed().at(0).get_id() == core::daemon_id("d2"));
    CHECK(test.get("/ready").result_int() == 503);
    test.backend.ready = true;
    CHECK(test.get("/ready").result_int() == 200);
    CHECK(test.get("/configuration").result_int() == 404);
    CHECK(test.get("/metrics").result_int() == 200);
    CHECK(test.get("/patch").result_int() == 405);
    CHECK(test.get("/other").result_int() == 404);
}

// Guards against a patch without a number, which would be applied to any
// configuration in force.
TEST_CASE("a patch needs an id, a number and an object", "[operators]")
{
    fixture test;
    for (const char* body : { "", "[]", R"({"id": "p", "patch": {}})",
             R"({"id": "p", "number": "1", "patch": {}})",
             R"({"id": "", "number": 1, "patch": {}})",
             R"({"id": "p", "number": 1, "patch": 3})" })
    {
        CHECK(test.post(body).result_int() == 422);
    }
    admin_request without_number(http::verb::post, "/patch", 11, "{}");
    without_number.set("Patch-Id", "p");
    CHECK(test.call(without_number).result_int() == 422);
    CHECK(test.backend.applied.empty());
}

TEST_CASE("both forms of a patch request give the same patch", "[operators]")
{
    fixture test;
    const auto reply = decode_reply(
        test.post(R"({"id": "p", "number": 7, "patch": {"a": 1}})").body());
    CHECK(reply == test.backend.reply);
    admin_request with_headers(http::verb::post, "/patch", 11, R"({"a":1})");
    with_headers.set("Patch-Id", "p");
    with_headers.set("Patch-Version", "7");
    CHECK(test.call(with_headers).result_int() == 200);
    REQUIRE(test.backend.applied.size() == 2);
    CHECK(test.backend.applied[0] == test.backend.applied[1]);
    test.backend.reply = patch_reply::make(patch_outcome::stale, {});
    CHECK(test.call(with_headers).result_int() == 409);
    test.backend.reply = patch_reply::make(patch_outcome::unknown, {});
    CHECK(test.call(with_headers).result_int() == 504);
}

// Guards against trailer fields without end, which are kept until they are
// whole.
TEST_CASE("a trailer without end closes the connection", "[operators]")
{
    fixture test;
    const std::string begin = "POST /patch HTTP/1.1\r\nHost: a\r\n"
                              "Transfer-Encoding: chunked\r\n\r\n0\r\n";
    const std::string field
        = "Trailer-Field: " + std::string(1000, 'x') + "\r\n";
    // A megabyte, if the server reads it.
    constexpr int fields = 1000;
    bool is_closed = false;
    bool is_over = false;
    const auto send = [&]() -> asio::awaitable<void> {
        boost::system::error_code failure;
        const auto send_all = [&](const std::string& text) {
            return asio::async_write(test.socket, asio::buffer(text),
                asio::redirect_error(asio::use_awaitable, failure));
        };
        co_await send_all(begin);
        for (int i = 0; i < fields && !failure; ++i)
        {
            co_await send_all(field);
        }
        is_closed = bool(failure);
        is_over = true;
    };
    asio::co_spawn(test.context, send, asio::detached);
    while (!is_over)
    {
        test.context.run_one();
    }
    CHECK(is_closed);
}
