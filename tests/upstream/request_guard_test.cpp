#include "upstream/request_guard.hpp"

#include <catch2/catch.hpp>

#include <string>

using namespace pollenward;
using namespace pollenward::upstream;

namespace {

const core::worker_id first("worker-1");
const core::worker_id second("worker-2");
const core::worker_id third("worker-3");
const core::time_point now(std::chrono::hours(1));
constexpr std::uint64_t fingerprint = 42;
constexpr core::milliseconds run_time{ 300 };
constexpr core::milliseconds no_delay{ 0 };

/// The crash of a worker at `at`, `run_time` after the request was sent to it.
crash_event crash(const core::worker_id& worker, core::time_point at)
{
    return crash_event::make(
        core::request_id("r-" + worker.str()), worker, at - run_time, at);
}

guard_decision check(request_guard& guard, core::time_point at)
{
    return guard.check(fingerprint, core::request_id("r-new"), no_delay, at);
}

} // namespace

// Guards against a request that crashes one worker after another.
TEST_CASE("a request that crashed two workers is blocked", "[upstream]")
{
    request_guard guard;
    const auto later = now + core::seconds(1);
    CHECK(guard.on_crash(fingerprint, crash(first, now)));
    CHECK_FALSE(guard.on_crash(fingerprint, crash(first, now)));
    CHECK_FALSE(guard.is_blocked(fingerprint, now));
    CHECK(guard.on_crash(fingerprint, crash(second, later)));
    CHECK(guard.is_blocked(fingerprint, later));
    CHECK(check(guard, later) == guard_decision::refuse);
    CHECK_FALSE(guard.is_blocked(fingerprint + 1, later));
    CHECK_FALSE(guard.is_blocked(fingerprint, later + crash_record_ttl));
    CHECK(guard.expire(later + crash_record_ttl) == 1);
    CHECK(guard.size() == 0);
}

// Guards against blocking a frequent lookup that broke on two workers because a
// rack failed.
TEST_CASE("a request that succeeds after a crash is not blocked", "[upstream]")
{
    request_guard guard;
    guard.on_crash(fingerprint, crash(first, now));
    CHECK(guard.on_success(fingerprint));
    guard.on_crash(fingerprint, crash(second, now + core::seconds(1)));
    CHECK_FALSE(guard.is_blocked(fingerprint, now + core::seconds(1)));
}

// Guards against refusing a popular lookup because several workers that were
// running it failed at the same time.
TEST_CASE("equal requests that broke at the same time count as one crash",
    "[upstream]")
{
    request_guard guard;
    guard.on_crash(fingerprint, crash(first, now));
    guard.on_crash(fingerprint, crash(second, now + core::milliseconds(200)));
    guard.on_crash(fingerprint, crash(third, now + core::milliseconds(250)));
    CHECK(check(guard, now + core::milliseconds(300)) == guard_decision::pass);
    SECTION("until one that began afterwards breaks too")
    {
        const auto later = now + core::seconds(1);
        guard.on_crash(fingerprint, crash(core::worker_id("worker-4"), later));
        CHECK(check(guard, later) == guard_decision::refuse);
    }
}

// Guards against a request that is never stopped because its service has one
// worker, which crashes each time.
TEST_CASE("three crashes of one worker block a request", "[upstream]")
{
    request_guard guard;
    auto at = now;
    for (int i = 0; i < 3; ++i)
    {
        CHECK_FALSE(guard.is_blocked(fingerprint, at));
        at += core::seconds(10);
        guard.on_crash(fingerprint,
            crash_event::make(core::request_id("r-" + std::to_string(i)), first,
                at - run_time, at));
    }
    CHECK(guard.is_blocked(fingerprint, at));
}

// Guards against daemons that keep refusing a request which a worker answered
// at another daemon, and against a late notice that blocks it again.
TEST_CASE("a merged record keeps what refutes a crash", "[upstream]")
{
    request_guard refusing;
    refusing.on_crash(fingerprint, crash(first, now));
    refusing.on_crash(fingerprint, crash(second, now + core::seconds(1)));
    const auto before = *refusing.find(fingerprint);
    REQUIRE(before.is_blocking());
    refusing.merge(fingerprint, before.refuted());
    CHECK_FALSE(refusing.is_blocked(fingerprint, now + core::seconds(1)));
    refusing.merge(fingerprint, before);
    CHECK_FALSE(refusing.is_blocked(fingerprint, now + core::seconds(1)));
    CHECK(refusing.find(fingerprint)->get_events().size() == 2);
}

// Guards against a sound request that is refused for minutes because nothing
// shows that it is sound, and against one that crashes a worker every few
// seconds in order to find out.
TEST_CASE(
    "a blocked request is sent again less often after each crash", "[upstream]")
{
    request_guard guard;
    guard.on_crash(fingerprint, crash(first, now));
    auto at = now + core::seconds(1);
    guard.on_crash(fingerprint, crash(second, at));
    core::duration pause = first_trial_delay;
    for (int i = 0; i < 3; ++i)
    {
        const auto due = at + pause;
        CHECK(check(guard, at + pause / 2) == guard_decision::refuse);
        CHECK(check(guard, due - core::milliseconds(1))
            == guard_decision::refuse);
        CHECK(guard.check(fingerprint, core::request_id("r-late"),
                  core::milliseconds(1), due)
            == guard_decision::refuse);
        CHECK(check(guard, due) == guard_decision::trial);
        CHECK(check(guard, due) == guard_decision::refuse);
        at = due + run_time;
        guard.on_crash(fingerprint,
            crash(core::worker_id("trial-" + std::to_string(i)), at));
        pause *= trial_delay_factor;
    }
    CHECK(guard.on_success(fingerprint));
    CHECK(check(guard, at) == guard_decision::pass);
}

// Guards against a request that crashes two more workers each time its record
// expires, although its caller has sent it all the time.
TEST_CASE("a record does not expire while its request is refused", "[upstream]")
{
    request_guard guard;
    guard.on_crash(fingerprint, crash(first, now));
    guard.on_crash(fingerprint, crash(second, now + core::seconds(1)));
    const auto last_refusal = now + crash_record_ttl;
    CHECK(guard.check(fingerprint, core::request_id("r-new"),
              core::seconds(3600), last_refusal)
        == guard_decision::refuse);
    const auto end = last_refusal + crash_record_ttl;
    CHECK(guard.expire(end - core::milliseconds(1)) == 0);
    CHECK(guard.expire(end) == 1);
}
