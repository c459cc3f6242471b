#include "operators/event.hpp"

#include "operators/log_rate_limiter.hpp"

#include <catch2/catch.hpp>

using namespace pollenward;
using operators::event;
using operators::log_rate_limiter;

// Guards against values that a reader of the log would parse as two fields or
// two lines.
TEST_CASE("values that are not plain are quoted", "[operators]")
{
    CHECK(event::make("a.b").with("key", "v").with("n", 3).str()
        == "a.b key=v n=3");
    CHECK(event::make("a").with("k", "x y").str() == "a k=\"x y\"");
    CHECK(event::make("a").with("k", "x\"\n").str() == "a k=\"x\\\"?\"");
    CHECK(event::make("a").with("k", "").str() == "a k=\"\"");
    CHECK(event::make("a").with("k", 0.25).str() == "a k=0.250");
    CHECK(event::make("a").with("k", core::duration(2500000)).str() == "a k=2");
    CHECK(event::make("a").with("k", core::error()).str() == "a");
}

// Guards against a log volume that grows with the load.
TEST_CASE("an event is limited to its rate and suppressed lines are counted",
    "[operators]")
{
    const core::time_point start = core::time_point() + core::seconds(10);
    auto limiter = log_rate_limiter::make(10, 20);
    int written = 0;
    for (int i = 0; i < 10000; ++i)
    {
        limiter = limiter.refilled_at(start + core::milliseconds(i));
        const bool is_written = limiter.allows_line();
        written += is_written ? 1 : 0;
        limiter = is_written ? limiter.with_written_line()
                             : limiter.with_suppressed_line();
    }
    // 20 at once and 10 a second for 10 s.
    CHECK(written >= 119);
    CHECK(written <= 121);
    CHECK(limiter.get_suppressed_count() > 0);
}
