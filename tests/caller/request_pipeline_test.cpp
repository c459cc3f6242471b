#include "caller/request_pipeline.hpp"

#include "core/runtime_timer.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <catch2/trompeloeil.hpp>

using namespace pollenward;
using namespace pollenward::caller;
using boost::asio::awaitable;
using upstream::dispatch_result;
using upstream::run_certainty;

namespace {

using trompeloeil::_;

template <class Value>
awaitable<Value> ready(Value value)
{
    co_return value;
}

struct admission_mock {
    MAKE_MOCK1(admit, awaitable<admission_decision>(const caller_request&));
    MAKE_MOCK3(finish,
        void(const core::service_id&, const admission_ticket&,
            std::optional<core::duration>));
};

struct claim_registry_mock {
    MAKE_MOCK1(claim, awaitable<claim_grant>(const caller_request&));
    MAKE_MOCK2(settle, void(const caller_request&, claim_state));
};

struct guard_mock {
    MAKE_MOCK1(admits, bool(const caller_request&));
};

struct dispatcher_mock {
    MAKE_MOCK1(
        dispatch, awaitable<dispatch_result>(const upstream::forward_request&));
};

struct recorder_mock {
    MAKE_MOCK4(record,
        void(
            core::rank, const core::account_id&, outcome_kind, core::duration));
};

/// A pipeline over mocks that admit each request and block none. It must
/// release its ticket and record its outcome exactly once.
class pipeline_test {
public:
    pipeline_test()
    {
        core::error reason;
        const auto kind
            = operators::kind_settings::create(core::kind_id("vote"),
                core::service_id("ballots"), false, core::rank::urgent,
                core::milliseconds(5000), core::byte_count(100), reason);
        this->request = caller_request::make(core::request_id("r1"), true,
            core::account_id("a"), *kind,
            core::runtime_clock::now() + core::seconds(5), {});
        this->ticket = admission_ticket::make(7, core::rank::urgent,
            core::account_id("a"), this->request.get_deadline());
        core::runtime_clock::pause();
    }

    ~pipeline_test() { core::runtime_clock::resume(); }

    claim_grant grant(claim_status status) const
    {
        return claim_grant::make(
            status, "owner lost", core::runtime_clock::now());
    }

    /// Runs the request and checks its outcome, also as recorded.
    void expect(outcome_kind kind, unsigned status)
    {
        REQUIRE_CALL(this->gate, admit(_))
            .LR_RETURN(ready(admission_decision::admitted(this->ticket)));
        REQUIRE_CALL(this->gate, finish(_, this->ticket, _));
        REQUIRE_CALL(
            this->outcome_recorder, record(core::rank::urgent, _, kind, _));
        const auto answer = this->run();
        REQUIRE(answer);
        CHECK(answer->get_outcome().get_kind() == kind);
        CHECK(answer->get_outcome().get_status() == status);
    }

    std::optional<caller_answer> run()
    {
        std::optional<caller_answer> answer;
        boost::asio::io_context context;
        boost::asio::co_spawn(
            context,
            [&]() -> awaitable<void> {
                answer = co_await core::with_deadline(
                    this->pipeline.handle(this->request), this->cancel_at);
            },
            boost::asio::detached);
        context.run();
        return answer;
    }

    admission_mock gate;
    claim_registry_mock registry;
    guard_mock crash_guard;
    dispatcher_mock upstreams;
    recorder_mock outcome_recorder;
    request_pipeline<admission_mock, claim_registry_mock, guard_mock,
        dispatcher_mock, recorder_mock>
        pipeline{ gate, registry, crash_guard, upstreams, outcome_recorder };
    std::unique_ptr<trompeloeil::expectation> not_blocked
        = NAMED_ALLOW_CALL(crash_guard, admits(_)).RETURN(true);
    caller_request request;
    admission_ticket ticket;
    core::time_point cancel_at = core::time_point::max();
};

dispatch_result failure(run_certainty certainty)
{
    return dispatch_result::failed(
        certainty, core::error::make("read response", "worker", "closed"));
}

awaitable<dispatch_result> never()
{
    co_await core::wait_until(core::time_point::max());
    co_return failure(co_await ready(run_certainty::not_run));
}

} // namespace

// Guards against "not-run" for a request that may have run, and against the
// removal of its claim.
TEST_CASE("the outcome reflects the certainty of the dispatch", "[caller]")
{
    pipeline_test test;
    REQUIRE_CALL(test.registry, claim(_))
        .LR_RETURN(ready(test.grant(claim_status::granted)));
    const auto dispatched = [&](dispatch_result result, claim_state state,
                                outcome_kind kind, unsigned status) {
        REQUIRE_CALL(test.upstreams, dispatch(_)).LR_RETURN(ready(result));
        REQUIRE_CALL(test.registry, settle(_, state));
        test.expect(kind, status);
    };
    SECTION("answered")
    {
        dispatched(dispatch_result::answered(upstream::response_message::make(
                       201, {}, core::shared_text::make("done"))),
            claim_state::finished, outcome_kind::answered, 201);
    }
    SECTION("lost")
    {
        dispatched(failure(run_certainty::unknown), claim_state::finished,
            outcome_kind::unknown, 502);
    }
    SECTION("refused by all workers")
    {
        dispatched(failure(run_certainty::not_run), claim_state::not_run,
            outcome_kind::not_run, 503);
    }
    SECTION("late")
    {
        REQUIRE_CALL(test.upstreams, dispatch(_))
            .LR_SIDE_EFFECT(core::runtime_clock::advance(core::seconds(6)))
            .LR_RETURN(ready(failure(run_certainty::unknown)));
        REQUIRE_CALL(test.registry, settle(_, claim_state::finished));
        test.expect(outcome_kind::unknown, 504);
    }
}

// Guards against a send without a usable claim: none of these may dispatch.
TEST_CASE("a request without a usable claim is not sent", "[caller]")
{
    pipeline_test test;
    SECTION("duplicate")
    {
        REQUIRE_CALL(test.registry, claim(_))
            .LR_RETURN(ready(test.grant(claim_status::duplicate)));
        test.expect(outcome_kind::unknown, 409);
    }
    SECTION("refused")
    {
        REQUIRE_CALL(test.registry, claim(_))
            .LR_RETURN(ready(test.grant(claim_status::refused)));
        test.expect(outcome_kind::not_run, 503);
    }
    SECTION("granted, but the daemon was paused since")
    {
        REQUIRE_CALL(test.registry, claim(_))
            .LR_SIDE_EFFECT(core::runtime_clock::advance(core::seconds(3)))
            .LR_RETURN(ready(claim_grant::make(claim_status::granted, "",
                core::runtime_clock::now() - core::seconds(3))));
        REQUIRE_CALL(test.registry, settle(_, claim_state::not_run));
        test.expect(outcome_kind::not_run, 503);
    }
    SECTION("granted after the deadline")
    {
        core::runtime_clock::advance(core::seconds(5));
        REQUIRE_CALL(test.registry, claim(_))
            .LR_RETURN(ready(test.grant(claim_status::granted)));
        REQUIRE_CALL(test.registry, settle(_, claim_state::not_run));
        test.expect(outcome_kind::not_run, 504);
    }
}

// Guards against a blocked request that reaches a worker, and against
// "not-run" for one that its caller may have sent before.
TEST_CASE("a blocked request is neither claimed nor sent", "[caller]")
{
    pipeline_test test;
    const bool is_id_from_caller = GENERATE(true, false);
    test.request = caller_request::make(test.request.get_id(),
        is_id_from_caller, test.request.get_account(), test.request.get_kind(),
        test.request.get_deadline(), {});
    REQUIRE_CALL(test.crash_guard, admits(_)).LR_RETURN(false);
    test.expect(
        is_id_from_caller ? outcome_kind::unknown : outcome_kind::not_run, 422);
}

// Guards against a claim that is removed, or a slot that is never released,
// because the caller disconnected while the request ran.
TEST_CASE("a request cancelled after its dispatch is finished", "[caller]")
{
    pipeline_test test;
    core::runtime_clock::resume();
    test.cancel_at = core::runtime_clock::now() + core::milliseconds(1);
    REQUIRE_CALL(test.gate, admit(_))
        .LR_RETURN(ready(admission_decision::admitted(test.ticket)));
    REQUIRE_CALL(test.registry, claim(_))
        .LR_RETURN(ready(test.grant(claim_status::granted)));
    REQUIRE_CALL(test.upstreams, dispatch(_)).LR_RETURN(never());
    REQUIRE_CALL(test.registry, settle(_, claim_state::finished));
    REQUIRE_CALL(test.gate, finish(_, test.ticket, _));
    REQUIRE_CALL(test.outcome_recorder, record(_, _, outcome_kind::unknown, _));
    CHECK_FALSE(test.run());
}
