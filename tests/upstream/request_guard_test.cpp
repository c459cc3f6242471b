#include "upstream/request_guard.hpp"

#include <catch2/catch.hpp>

using namespace pollenward;
using namespace pollenward::upstream;

namespace {

const core::worker_id first("worker-1");
const core::worker_id second("worker-2");
const core::time_point now(std::chrono::hours(1));
constexpr std::uint64_t fingerprint = 42;

} // namespace

// Guards against a request that takes down one worker after the other.
TEST_CASE("a request that crashed two workers is blocked", "[upstream]")
{
    request_guard guard;
    CHECK(guard.on_crash(fingerprint, first, now));
    CHECK_FALSE(guard.on_crash(fingerprint, first, now));
    CHECK_FALSE(guard.is_blocked(fingerprint, now));
    CHECK(guard.on_crash(fingerprint, second, now));
    CHECK(guard.is_blocked(fingerprint, now));
    CHECK_FALSE(guard.is_blocked(fingerprint + 1, now));
    CHECK_FALSE(guard.is_blocked(fingerprint, now + guard_ttl));
    CHECK(guard.expire(now + guard_ttl) == 1);
    CHECK(guard.size() == 0);
}

// Guards against refusing a popular lookup that broke on two workers because a
// rack went.
TEST_CASE("a request that succeeds after a crash is not blocked", "[upstream]")
{
    request_guard guard;
    guard.on_crash(fingerprint, first, now);
    guard.on_success(fingerprint);
    guard.on_crash(fingerprint, second, now);
    CHECK_FALSE(guard.is_blocked(fingerprint, now));
}
