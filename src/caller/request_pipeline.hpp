#pragma once

#include "caller/admission_decision.hpp"
#include "caller/caller_answer.hpp"
#include "caller/caller_request.hpp"
#include "caller/claim_grant.hpp"
#include "caller/pipeline_answers.hpp"
#include "operators/event.hpp"
#include "upstream/dispatch_result.hpp"
#include "upstream/forward_request.hpp"

#include <boost/asio/awaitable.hpp>

#include <concepts>
#include <optional>
#include <utility>

namespace pollenward::caller {

/// Lets a request wait until its service has capacity. `finish` is called once
/// for each ticket, with the time that the request ran on a worker, if it did.
template <class Type>
concept admission = requires(Type& type, const caller_request& request,
    const core::service_id& service, const admission_ticket& ticket,
    std::optional<core::duration> service_time) {
    {
        type.admit(request)
    } -> std::same_as<boost::asio::awaitable<admission_decision>>;
    type.finish(service, ticket, service_time);
};

/// Claims request ids, so that a request runs at most once. `settle` is called
/// once for each claim that was granted.
template <class Type>
concept claim_registry
    = requires(Type& type, const caller_request& request, claim_state state) {
          {
              type.claim(request)
          } -> std::same_as<boost::asio::awaitable<claim_grant>>;
          type.settle(request, state);
      };

/// Refuses requests that crash the workers that run them.
template <class Type>
concept guard = requires(Type& type, const caller_request& request) {
    {
        type.admits(request)
    } -> std::same_as<bool>;
};

/// Sends an admitted request to a worker, with retries.
template <class Type>
concept dispatcher
    = requires(Type& type, const upstream::forward_request& request) {
          {
              type.dispatch(request)
          } -> std::same_as<boost::asio::awaitable<upstream::dispatch_result>>;
      };

/// Records the outcomes and durations of requests.
template <class Type>
concept recorder = requires(Type& type, core::rank rank,
    const core::account_id& account, outcome_kind kind,
    core::duration time) { type.record(rank, account, kind, time); };

/// Processes requests: admission, crash guard, claim, dispatch and answer.
template <admission Admission, claim_registry Claims, guard Guard,
    dispatcher Dispatcher, recorder Recorder>
class request_pipeline {
public:
    request_pipeline(Admission& gate, Claims& registry, Guard& guard,
        Dispatcher& upstreams, Recorder& outcome_recorder)
        : gate(gate)
        , registry(registry)
        , crash_guard(guard)
        , upstreams(upstreams)
        , outcome_recorder(outcome_recorder)
    {
    }

    boost::asio::awaitable<caller_answer> handle(caller_request request)
    {
        progress state;
        try
        {
            auto answer = co_await this->run(request, state);
            this->finish_request(
                request, state, answer.get_outcome().get_kind());
            log_end(request, state, answer.get_outcome());
            co_return answer;
        }
        catch (...)
        {
            // The caller disconnected, or a step failed. Only a request that
            // was not passed to the dispatcher certainly did not run.
            this->finish_request(request, state,
                state.sent_at ? outcome_kind::unknown : outcome_kind::not_run);
            throw;
        }
    }

private:
    /// The progress of a request, from which finish_request() derives what to
    /// release and report.
    struct progress {
        core::time_point started_at = core::runtime_clock::now();
        std::optional<admission_ticket> ticket;
        bool has_claim = false;
        std::optional<core::time_point> sent_at;
        upstream::run_certainty certainty = upstream::run_certainty::unknown;
    };

    boost::asio::awaitable<caller_answer> run(
        const caller_request& request, progress& state)
    {
        const auto admitted = co_await this->gate.admit(request);
        state.ticket = admitted.get_ticket();
        if (!state.ticket)
        {
            co_return make_answer(admitted);
        }
        if (!this->crash_guard.admits(request))
        {
            co_return blocked_answer(request);
        }
        const auto grant = co_await this->registry.claim(request);
        state.has_claim = grant.get_status() == claim_status::granted;
        const auto now = core::runtime_clock::now();
        if (!grant.is_usable(now))
        {
            co_return make_answer(grant);
        }
        if (now >= request.get_deadline())
        {
            co_return late_answer();
        }
        co_return co_await this->send(request, state);
    }

    boost::asio::awaitable<caller_answer> send(
        const caller_request& request, progress& state)
    {
        const auto& kind = request.get_kind();
        const auto forward = upstream::forward_request::make(request.get_id(),
            kind.get_service(), kind.get_id(), kind.get_rank(),
            kind.is_idempotent(), request.get_deadline(), request.get_message())
                                 .with_limits(kind.get_max_attempts(),
                                     kind.get_target_latency())
                                 .with_patience(request.get_patience());
        state.sent_at = core::runtime_clock::now();
        const auto result = co_await this->upstreams.dispatch(forward);
        state.certainty = result.get_certainty();
        const bool is_late
            = core::runtime_clock::now() >= request.get_deadline();
        co_return make_answer(result, is_late);
    }

    static void log_end(const caller_request& request, const progress& state,
        const outcome& ended)
    {
        operators::write(
            operators::event::make("request.ended")
                .with("request", request.get_id())
                .with("kind", request.get_kind().get_id())
                .with("service", request.get_kind().get_service())
                .with("rank", core::to_string(request.get_kind().get_rank()))
                .with("outcome", to_string(ended.get_kind()))
                .with("status", ended.get_status())
                .with("reason", ended.get_reason())
                .with("admitted", state.ticket.has_value())
                .with("ms", core::runtime_clock::now() - state.started_at));
    }

    /// Settles the claim, releases the capacity and records the outcome.
    void finish_request(
        const caller_request& request, const progress& state, outcome_kind kind)
    {
        const auto now = core::runtime_clock::now();
        const bool may_have_run = state.sent_at
            && state.certainty != upstream::run_certainty::not_run;
        if (state.has_claim)
        {
            this->registry.settle(request,
                may_have_run ? claim_state::finished : claim_state::not_run);
        }
        if (state.ticket)
        {
            std::optional<core::duration> service_time;
            if (may_have_run)
            {
                service_time = now - *state.sent_at;
            }
            this->gate.finish(
                request.get_kind().get_service(), *state.ticket, service_time);
        }
        this->outcome_recorder.record(request.get_kind().get_rank(),
            request.get_account(), kind, now - state.started_at);
    }

    Admission& gate;
    Claims& registry;
    Guard& crash_guard;
    Dispatcher& upstreams;
    Recorder& outcome_recorder;
};

} // namespace pollenward::caller
