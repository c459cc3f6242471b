#include "main/entry_daemon.hpp"

#include "caller_dialect.hpp"
#include "process/local_resources.hpp"
#include "worker_codec.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include <atomic>
#include <exception>
#include <string>
#include <vector>

using namespace pollenward;

namespace {

/// A store without objects that answers each watch after 5 ms, and counts them.
class counting_store {
public:
    explicit counting_store(const main::settings& /*chosen*/) { }

    template <class Value>
    boost::asio::awaitable<platform::listing<Value>> list()
    {
        co_return platform::listing<Value>::make(
            platform::listing_status::complete, core::store_revision(1), {});
    }

    template <class Value>
    boost::asio::awaitable<platform::listing<Value>> watch(
        platform::store_revision after, core::milliseconds /*wait*/)
    {
        ++watches;
        co_await core::wait_until(
            core::runtime_clock::now() + core::milliseconds(5));
        co_return platform::listing<Value>::make(
            platform::listing_status::changes, after, {});
    }

    boost::asio::awaitable<bool> announce(const fleet::member& /*self*/)
    {
        co_return true;
    }

    boost::asio::awaitable<bool> withdraw(const fleet::member& /*self*/)
    {
        co_return true;
    }

    boost::asio::awaitable<bool> remove(
        const fleet::member& /*who*/, core::store_revision /*revision*/)
    {
        co_return true;
    }

    boost::asio::awaitable<platform::listing<fleet::member>> list_daemons()
    {
        co_return platform::listing<fleet::member>::make(
            platform::listing_status::complete, core::store_revision(1), {});
    }

    static inline std::atomic<int> watches{ 0 };
};

struct tested_platform {
    using caller_dialect = adapter::caller_dialect;
    using worker_codec = adapter::worker_codec;
    using store = counting_store;
};

main::settings make_settings(const std::vector<std::uint16_t>& ports)
{
    const auto local = [&](std::size_t index) {
        return "\"127.0.0.1:" + std::to_string(ports[index]) + "\"\n";
    };
    std::vector<core::error> faults;
    return main::settings::create(
        "[daemon]\nid=\"d\"\nzone=\"a\"\nregion=\"r\"\nthreads=1\n"
        "drain_delay=\"200ms\"\ngrace=\"1s\"\n[listen]\ncallers="
            + local(0) + "operators=" + local(1) + "fleet=" + local(2)
            + "[platform]\nendpoint=" + local(3) + "[zones]\na=\"r\"\n",
        "test", faults)
        .value();
}

} // namespace

// Guards against a stop that lasts until SIGKILL, because a host with little
// processor time decodes one large configuration after the other meanwhile.
TEST_CASE("a daemon that drains reads nothing more from the store", "[main]")
{
    const auto ports = test::find_free_ports(4);
    static auto& context = *new boost::asio::io_context(1);
    // Never destroyed, as in the program: suspended coroutines refer to it.
    static auto* const kept = new main::entry_daemon<tested_platform>(
        context, make_settings(ports));
    auto& daemon = *kept;
    core::error reason;
    REQUIRE(daemon.start(reason));
    boost::asio::ip::tcp::socket caller(context);
    caller.connect({ boost::asio::ip::address_v4::loopback(), ports[0] });
    // An unfinished request keeps the drain waiting until its limit.
    boost::asio::write(caller, boost::asio::buffer(std::string("GET / HT")));
    int before_drain = 0;
    int at_close = 0;
    const auto scenario = [&]() -> boost::asio::awaitable<void> {
        const auto wait = [](core::milliseconds time) {
            return core::wait_until(core::runtime_clock::now() + time);
        };
        while (counting_store::watches == 0)
        {
            co_await wait(core::milliseconds(5));
        }
        before_drain = counting_store::watches;
        boost::asio::co_spawn(context, daemon.drain(core::runtime_clock::now()),
            [&](const std::exception_ptr& failure) {
                CHECK_FALSE(failure);
                context.stop();
            });
        // The listener closes after the drain delay.
        bool is_open = true;
        while (is_open)
        {
            co_await wait(core::milliseconds(5));
            boost::asio::ip::tcp::socket probe(context);
            boost::system::error_code failure;
            probe.connect(
                { boost::asio::ip::address_v4::loopback(), ports[0] }, failure);
            is_open = !failure;
        }
        at_close = counting_store::watches;
    };
    boost::asio::co_spawn(context, scenario(),
        [](const std::exception_ptr& failure) { CHECK_FALSE(failure); });
    context.run();
    CHECK(at_close > before_drain);
    CHECK(counting_store::watches == at_close);
}

namespace {

struct late_drain {
    /// Before the drain delay and the drain limit would be over if they counted
    /// from its begin.
    bool is_in_time = false;
    bool has_answered = false;
};

/// Begins a drain a second after the signal, with a caller that has sent
/// `bytes`.
late_drain drain_late(const std::string& bytes)
{
    const auto ports = test::find_free_ports(4);
    // Never destroyed, as in the program: suspended coroutines refer to them.
    auto& context = *new boost::asio::io_context(1);
    auto& daemon = *new main::entry_daemon<tested_platform>(
        context, make_settings(ports));
    core::error reason;
    REQUIRE(daemon.start(reason));
    boost::asio::ip::tcp::socket caller(context);
    caller.connect({ boost::asio::ip::address_v4::loopback(), ports[0] });
    boost::asio::write(caller, boost::asio::buffer(bytes));
    const auto begin = core::runtime_clock::now();
    late_drain seen;
    bool is_drained = false;
    boost::asio::co_spawn(context, daemon.drain(begin - core::seconds(1)),
        [&](const std::exception_ptr& failure) {
            CHECK_FALSE(failure);
            is_drained = true;
            seen.has_answered = caller.available() > 0;
        });
    core::runtime_timer limit(context, begin + core::milliseconds(600));
    limit.async_wait([&](const boost::system::error_code& /*failure*/) {
        seen.is_in_time = is_drained;
        context.stop();
    });
    context.run();
    return seen;
}

} // namespace

// Guards against a drain that counts its limit from when a busy daemon handles
// the signal, and so goes on until SIGKILL.
TEST_CASE("a drain that begins late ends in time", "[main]")
{
    // An unfinished request keeps the drain waiting until its limit.
    CHECK(drain_late("GET / HT").is_in_time);
}

// Guards against a daemon that ends before it has read what had arrived when a
// late drain began.
TEST_CASE("a drain that begins late answers what has arrived", "[main]")
{
    const late_drain seen = drain_late("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
    CHECK(seen.has_answered);
    CHECK(seen.is_in_time);
}
