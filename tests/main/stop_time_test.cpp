#include "main/daemon_program.hpp"

#include <catch2/catch.hpp>

#include <csignal>
#include <optional>
#include <thread>

using namespace pollenward;

namespace {

/// Notes from when its drain counts.
struct noting_daemon {
    boost::asio::awaitable<void> drain(core::time_point signalled)
    {
        this->counted_from = signalled;
        co_return;
    }

    void cut() { }

    std::optional<core::time_point> counted_from;
};

} // namespace

// Guards against a drain limit that counts from when a busy daemon handles the
// signal.
TEST_CASE("a stop signal is timed while the daemon is busy", "[main]")
{
    boost::asio::io_context context(1);
    main::handled_signals signals(context);
    noting_daemon daemon;
    CHECK_FALSE(signals.first_stop.get());
    boost::asio::co_spawn(boost::asio::make_strand(context),
        main::wait_for_stop(context, daemon, signals), boost::asio::detached);
    context.poll();
    std::raise(SIGTERM);
    while (!signals.first_stop.get())
    {
        std::this_thread::sleep_for(core::milliseconds(1));
    }
    const auto before_handling = core::runtime_clock::now();
    CHECK_FALSE(daemon.counted_from);
    context.run();
    REQUIRE(daemon.counted_from);
    CHECK(*daemon.counted_from <= before_handling);
}
