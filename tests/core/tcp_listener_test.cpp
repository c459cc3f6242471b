#include "core/tcp_listener.hpp"

#include "core/run_due_timers.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <catch2/catch.hpp>

#include <sys/resource.h>

#include <stdexcept>

using namespace pollenward;
namespace asio = boost::asio;

namespace {

constexpr auto ignore_failure = [](const core::error& /*cause*/) {};

core::endpoint local(std::uint16_t port)
{
    core::error reason;
    const auto made
        = core::endpoint::create("127.0.0.1:" + std::to_string(port), reason);
    REQUIRE(made);
    return *made;
}

} // namespace

// Guards against a listener that accepts after a drain has begun.
TEST_CASE("a listener accepts until it is closed", "[core]")
{
    asio::io_context context;
    core::tcp_listener listener(context);
    core::error reason;
    REQUIRE(listener.listen(local(0), reason));
    int accepted = 0;
    asio::co_spawn(listener.get_executor(),
        listener.accept_all([] { return true; },
            [&](asio::ip::tcp::socket /*socket*/) {
                ++accepted;
                listener.close();
            },
            ignore_failure),
        asio::detached);
    asio::ip::tcp::socket client(context);
    client.async_connect(
        { asio::ip::make_address("127.0.0.1"), listener.get_port() },
        [](boost::system::error_code) {});
    context.run();
    CHECK(accepted == 1);
}

// Guards against a listener that takes connections for which there is no room,
// and against one that does not take them when there is.
TEST_CASE("a listener leaves connections waiting without room", "[core]")
{
    core::runtime_clock::pause();
    asio::io_context context;
    core::tcp_listener listener(context);
    core::error reason;
    REQUIRE(listener.listen(local(0), reason));
    bool has_room = false;
    int accepted = 0;
    asio::co_spawn(listener.get_executor(),
        listener.accept_all([&] { return has_room; },
            [&](asio::ip::tcp::socket /*socket*/) { ++accepted; },
            ignore_failure),
        asio::detached);
    asio::ip::tcp::socket client(context);
    client.connect(
        { asio::ip::make_address("127.0.0.1"), listener.get_port() });
    const auto pass = [&](core::duration time) {
        core::runtime_clock::advance(time);
        testing::run_due_timers(context);
    };
    pass(core::room_check_interval);
    CHECK(accepted == 0);
    has_room = true;
    SECTION("until there is room")
    {
        pass(core::room_check_interval);
    }
    SECTION("when it is closed")
    {
        listener.close();
        pass(core::room_check_interval);
    }
    CHECK(accepted == 1);
    core::runtime_clock::resume();
}

// Guards against a stop that resets the connections that wait, because the
// process has no descriptor for the moment.
TEST_CASE("a listener without descriptors accepts later", "[core]")
{
    core::runtime_clock::pause();
    asio::io_context context;
    core::tcp_listener listener(context);
    core::error reason;
    REQUIRE(listener.listen(local(0), reason));
    bool has_room = false;
    int accepted = 0;
    int failures = 0;
    asio::co_spawn(listener.get_executor(),
        listener.accept_all([&] { return has_room; },
            [&](asio::ip::tcp::socket /*socket*/) { ++accepted; },
            [&](const core::error& /*cause*/) { ++failures; }),
        asio::detached);
    const auto pass = [&] {
        core::runtime_clock::advance(core::accept_retry_delay);
        testing::run_due_timers(context);
    };
    const asio::ip::tcp::endpoint address(
        asio::ip::make_address("127.0.0.1"), listener.get_port());
    asio::ip::tcp::socket first(context);
    asio::ip::tcp::socket second(context, address.protocol());
    // The sanitizer needs descriptors for the first check of each type, so
    // that the loop runs with them first.
    first.connect(address);
    pass();
    has_room = true;
    pass();
    REQUIRE(accepted == 1);
    second.connect(address);
    rlimit usual{};
    ::getrlimit(RLIMIT_NOFILE, &usual);
    const rlimit none{ 0, usual.rlim_max };
    ::setrlimit(RLIMIT_NOFILE, &none);
    pass();
    listener.close();
    pass();
    pass();
    ::setrlimit(RLIMIT_NOFILE, &usual);
    CHECK(accepted == 1);
    CHECK(failures == 1);
    pass();
    CHECK(accepted == 2);
    core::runtime_clock::resume();
}

// Guards against a listener that ends with the first connection that cannot be
// served.
TEST_CASE("a listener goes on after a connection that fails", "[core]")
{
    asio::io_context context;
    core::tcp_listener listener(context);
    core::error reason;
    REQUIRE(listener.listen(local(0), reason));
    int accepted = 0;
    int failures = 0;
    asio::co_spawn(listener.get_executor(),
        listener.accept_all([] { return true; },
            [&](asio::ip::tcp::socket /*socket*/) {
                if (++accepted == 1)
                {
                    throw std::runtime_error("no memory");
                }
                listener.close();
            },
            [&](const core::error& /*cause*/) { ++failures; }),
        asio::detached);
    asio::ip::tcp::socket first(context);
    asio::ip::tcp::socket second(context);
    for (auto* client : { &first, &second })
    {
        client->connect(
            { asio::ip::make_address("127.0.0.1"), listener.get_port() });
    }
    context.run();
    CHECK(accepted == 2);
    CHECK(failures == 1);
}

// Guards against a daemon that starts on the address of another one.
TEST_CASE("a second listener on a port reports why it fails", "[core]")
{
    asio::io_context context;
    core::tcp_listener first(context);
    core::error reason;
    REQUIRE(first.listen(local(0), reason));
    core::tcp_listener second(context);
    const core::endpoint bound = local(first.get_port());
    CHECK_FALSE(second.listen(bound, reason));
    CHECK(reason.get_step() == "bind listener");
    CHECK(reason.get_peer() == bound.str());
}
