#include "main/daemon_program.hpp"

#include <catch2/catch.hpp>

#include <csignal>
#include <thread>

using namespace pollenward;

// Guards against a drain limit that counts from when a busy daemon handles the
// signal.
TEST_CASE("a stop signal is timed while the daemon is busy", "[main]")
{
    boost::asio::io_context context(1);
    main::handled_signals signals(context);
    CHECK_FALSE(signals.first_stop.get());
    bool is_handled = false;
    boost::asio::co_spawn(context, main::next_stop_action(signals.stops, false),
        [&](const std::exception_ptr& failure, main::stop_action action) {
            CHECK_FALSE(failure);
            is_handled = action == main::stop_action::begin_drain;
        });
    context.poll();
    std::raise(SIGTERM);
    while (!signals.first_stop.get())
    {
        std::this_thread::sleep_for(core::milliseconds(1));
    }
    const auto before_handling = core::runtime_clock::now();
    CHECK_FALSE(is_handled);
    context.run();
    CHECK(is_handled);
    std::raise(SIGTERM);
    CHECK(*signals.first_stop.get() <= before_handling);
}
