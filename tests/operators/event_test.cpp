#include "operators/event.hpp"

#include "operators/line_budget.hpp"

#include <catch2/catch.hpp>

using namespace pollenward;
using operators::event;
using operators::line_budget;

// Guards against a field that looks like two, or a line like two.
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

// Guards against a log that grows with the load.
TEST_CASE("a kind of event keeps to its rate and counts what it leaves out",
    "[operators]")
{
    const core::time_point start = core::time_point() + core::seconds(10);
    auto budget = line_budget::make(10, 20);
    int written = 0;
    for (int i = 0; i < 10000; ++i)
    {
        budget = budget.at(start + core::milliseconds(i));
        const bool is_written = budget.allows_line();
        written += is_written ? 1 : 0;
        budget = is_written ? budget.with_line() : budget.with_left_out();
    }
    // 20 at once and 10 a second for 10 s.
    CHECK(written >= 119);
    CHECK(written <= 121);
    CHECK(budget.get_left_out() > 0);
}
