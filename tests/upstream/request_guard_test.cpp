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

// Guards against a request that crashes one worker after another.
TEST_CASE("a request that crashed two workers is blocked", "[upstream]")
{
    request_guard guard;
    CHECK(guard.on_crash(fingerprint, first, now));
    CHECK_FALSE(guard.on_crash(fingerprint, first, now));
    CHECK_FALSE(guard.is_blocked(fingerprint, now));
    CHECK(guard.on_crash(fingerprint, second, now));
    CHECK(guard.is_blocked(fingerprint, now));
    CHECK_FALSE(guard.is_blocked(fingerprint + 1, now));
    CHECK_FALSE(guard.is_blocked(fingerprint, now + crash_record_ttl));
    CHECK(guard.expire(now + crash_record_ttl) == 1);
    CHECK(guard.size() == 0);
}

// Guards against blocking a frequent lookup that broke on two workers because a
// rack failed.
TEST_CASE("a request that succeeds after a crash is not blocked", "[upstream]")
{
    request_guard guard;
    guard.on_crash(fingerprint, first, now);
    guard.on_success(fingerprint);
    guard.on_crash(fingerprint, second, now);
    CHECK_FALSE(guard.is_blocked(fingerprint, now));
}
