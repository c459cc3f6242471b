#include "caller/admission_gate.hpp"

#include "core/run_due_timers.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/strand.hpp>
#include <catch2/catch.hpp>

#include <atomic>
#include <thread>
#include <vector>

using namespace pollenward;
using namespace pollenward::caller;
namespace asio = boost::asio;
using core::runtime_clock;

namespace {

class two_slots {
public:
    double limit(const core::service_id&) const { return 2; }

    operators::rank_shares minimum_shares(const core::service_id&) const
    {
        return {};
    }
};

const core::service_id ballots("ballots");

caller_request request_of(core::rank rank, core::duration timeout)
{
    core::error reason;
    const auto kind = operators::kind_settings::create(core::kind_id("vote"),
        ballots, false, rank, core::seconds(5), core::byte_count(10), reason);
    return caller_request::make(core::request_id("r"), false,
        core::account_id("a"), *kind, runtime_clock::now() + timeout, {});
}

using two_slot_gate = admission_gate<two_slots>;

} // namespace

// Guards, also under the thread sanitizer, against a waiter that is never
// resumed, a slot that is never released and a limit that is exceeded.
TEST_CASE("each waiter is admitted within the limit", "[caller][shards]")
{
    constexpr int request_count = 500;
    two_slots limits;
    two_slot_gate gate(limits);
    asio::io_context context;
    std::atomic<int> running{ 0 };
    std::atomic<int> max_running{ 0 };
    std::atomic<int> done{ 0 };
    const auto run = [&]() -> asio::awaitable<void> {
        const auto request
            = request_of(core::rank::standard, std::chrono::hours(1));
        const auto decision = co_await gate.admit(request);
        const int now_running = ++running;
        max_running = std::max(max_running.load(), now_running);
        co_await asio::post(asio::use_awaitable);
        --running;
        gate.finish(ballots, *decision.get_ticket(), core::duration(1));
        ++done;
    };
    for (int i = 0; i < request_count; ++i)
    {
        asio::co_spawn(asio::make_strand(context), run(), asio::detached);
    }
    {
        std::vector<std::jthread> threads;
        threads.reserve(3);
        for (int i = 0; i < 3; ++i)
        {
            threads.emplace_back([&] { context.run(); });
        }
    }
    CHECK(done == request_count);
    CHECK(max_running <= 2);
    CHECK(gate.demand(ballots) == std::array<double, 3>{ 0, 0, 0 });
}

// Guards against a ticket that stays queued after its caller disconnected or
// its deadline passed, and would later occupy a slot that is never released.
TEST_CASE("a wait ends at the deadline or when cancelled", "[caller]")
{
    runtime_clock::pause();
    two_slots limits;
    two_slot_gate gate(limits);
    asio::io_context context;
    std::vector<admission_decision> decisions;
    const auto wait = [&](core::rank rank) -> asio::awaitable<void> {
        const auto request = request_of(rank, core::seconds(2));
        decisions.push_back(co_await gate.admit(request));
    };
    const auto wait_shortly = [&]() -> asio::awaitable<void> {
        const auto request = request_of(core::rank::urgent, core::seconds(2));
        const auto ended = co_await core::with_deadline(
            gate.admit(request), runtime_clock::now() + core::seconds(1));
        CHECK_FALSE(ended);
    };
    for (int i = 0; i < 3; ++i)
    {
        asio::co_spawn(context, wait(core::rank::standard), asio::detached);
    }
    asio::co_spawn(context, wait_shortly(), asio::detached);
    context.poll();
    CHECK(gate.demand(ballots) == std::array<double, 3>{ 1, 3, 0 });
    using flags = std::array<bool, core::rank_count>;
    CHECK(gate.overloaded_ranks(ballots) == flags{ false, true, true });
    runtime_clock::advance(core::seconds(1));
    testing::run_due_timers(context);
    CHECK(gate.demand(ballots) == std::array<double, 3>{ 0, 3, 0 });
    runtime_clock::advance(core::seconds(1));
    core::wake_timers(context.get_executor());
    context.run();
    CHECK(gate.demand(ballots) == std::array<double, 3>{ 0, 2, 0 });
    CHECK(gate.overloaded_ranks(ballots) == flags{ false, false, false });
    REQUIRE(decisions.size() == 3);
    CHECK(decisions.back().get_refusal() == admission_refusal::deadline);
    CHECK_FALSE(decisions.back().get_ticket());
    runtime_clock::resume();
}

// Guards against requests that wait until a shutdown interrupts them.
TEST_CASE("a closed gate refuses waiting and later requests", "[caller]")
{
    two_slots limits;
    two_slot_gate gate(limits);
    asio::io_context context;
    int admitted = 0;
    int refused = 0;
    const auto run = [&]() -> asio::awaitable<void> {
        const auto request
            = request_of(core::rank::standard, std::chrono::hours(1));
        const auto decision = co_await gate.admit(request);
        (decision.get_ticket() ? admitted : refused) += 1;
    };
    for (int i = 0; i < 5; ++i)
    {
        asio::co_spawn(asio::make_strand(context), run(), asio::detached);
    }
    context.poll();
    CHECK(admitted == 2);
    CHECK(refused == 0);
    gate.close();
    asio::co_spawn(asio::make_strand(context), run(), asio::detached);
    context.poll();
    CHECK(refused == 4);
}
