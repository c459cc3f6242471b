#include "upstream/stop_deadline.hpp"

#include "one_timeout.hpp"

#include <catch2/catch.hpp>

using namespace pollenward;
using namespace pollenward::upstream;
using namespace pollenward::upstream::testing;

namespace {

constexpr core::time_point header_at{ core::seconds(100) };

/// Under a timeout of 4 s, from a caller that waits for 6 s, with a body that
/// arrived 1 s after the header.
forward_request make_request()
{
    return forward_request::make(core::request_id("a"),
        core::service_id("service"), core::kind_id("kind"),
        core::rank::standard, false, header_at + core::seconds(4), {})
        .with_patience(caller_patience::make(
            header_at + core::seconds(1), core::seconds(6)));
}

core::duration wait_with(std::optional<core::milliseconds> timeout)
{
    return stop_deadline(make_request(), one_timeout{ timeout }) - header_at;
}

} // namespace

// Guards against a daemon that answers in place of a worker during its stop:
// the caller may count its time from the last byte of the request.
TEST_CASE("The deadline at a stop counts from the last byte", "[upstream]")
{
    CHECK(wait_with(core::seconds(4)) == core::seconds(5) + own_end_time);
}

TEST_CASE("The deadline at a stop follows a longer timeout", "[upstream]")
{
    CHECK(wait_with(core::milliseconds(5500))
        == core::milliseconds(6500) + own_end_time);
}

TEST_CASE("The deadline at a stop is bounded by the caller", "[upstream]")
{
    CHECK(wait_with(core::seconds(30)) == core::seconds(7));
}

TEST_CASE("The deadline at a stop is never earlier than before", "[upstream]")
{
    CHECK(wait_with(core::seconds(1)) == core::seconds(4));
    CHECK(wait_with(std::nullopt) == core::seconds(4));
}

TEST_CASE("The deadline of a request without a known caller holds at a stop",
    "[upstream]")
{
    const auto request = make_request().with_patience(caller_patience());
    CHECK(stop_deadline(request, one_timeout{ core::seconds(30) })
        == request.get_deadline());
}
