#pragma once

#include "core/ids.hpp"
#include "core/runtime_clock.hpp"
#include "upstream/attempt_runner.hpp"
#include "upstream/dispatch_result.hpp"
#include "upstream/dispatch_state.hpp"
#include "upstream/forward_request.hpp"
#include "upstream/worker_choice.hpp"

#include <boost/asio/awaitable.hpp>

#include <concepts>
#include <cstdint>
#include <utility>
#include <vector>

namespace pollenward::upstream {

/// Source of the workers that may receive requests now.
template <class Type>
concept standings_source
    = requires(const Type& source, const core::service_id& service) {
          {
              source.find(service)
          } -> std::same_as<std::vector<usable_worker>>;
      };

/// Records the results of attempts as evidence about workers. Answers with a
/// status of 500 or more are recorded as broken_after_send: see
/// evidence_result().
template <class Type>
concept evidence_sink = requires(Type& sink, const core::service_id& service,
    const core::worker_id& worker_id, attempt_result result,
    core::duration latency, core::time_point now) {
    sink.record(service, worker_id, result, latency, now);
};

/// Receives the requests that may have crashed a worker, with the start and the
/// end of the run.
template <class Type>
concept crash_observer
    = requires(Type& observer, const forward_request& request,
        const core::worker_id& worker_id, core::time_point time) {
          observer.on_crash(request, worker_id, time, time);
      };

/// A random number, uniform over all values, from a generator of the calling
/// thread.
std::uint64_t random_bits();

/// Sends requests to workers: chooses a worker, runs the attempt, and retries
/// where that is safe and within the retry budget. It must outlive the requests
/// that it runs; each must run on a strand.
template <standings_source Standings, evidence_sink Evidence,
    crash_observer Crashes, balancing_policy Policy = least_loaded_of_two>
class dispatcher {
public:
    dispatcher(boost::asio::any_io_executor executor,
        const Standings& standings, Evidence& evidence, Crashes& crashes,
        core::memory_budget bodies = core::memory_budget::unlimited())
        : standings(standings)
        , evidence(evidence)
        , crashes(crashes)
        , connections(std::move(executor), connection_pool::default_idle_limit,
              std::move(bodies))
        , attempts(this->connections, this->state)
    {
    }

    /// Runs the request on one of the service's workers.
    boost::asio::awaitable<dispatch_result> dispatch(
        const forward_request& request)
    {
        this->state.count_request(request);
        std::vector<core::worker_id> tried;
        auto certainty = run_certainty::not_run;
        auto cause
            = core::error::make("choose worker", request.get_service().str(),
                "no worker is eligible for the request");
        while (const auto chosen = this->choose(request, tried))
        {
            tried.push_back(chosen->get_id());
            const auto outcome = co_await this->attempt(*chosen, request);
            const exchange_result& last = outcome.get_last();
            if (last.get_response())
            {
                co_return dispatch_result::answered(*last.get_response());
            }
            if (outcome.get_certainty() != run_certainty::not_run)
            {
                certainty = run_certainty::unknown;
            }
            cause = last.get_cause();
            // An await after a cancellation would throw.
            const auto cancellation
                = co_await boost::asio::this_coro::cancellation_state;
            if (cancellation.cancelled() != boost::asio::cancellation_type::none
                || !this->state.try_acquire_retry(request, last.get_result(),
                    static_cast<int>(tried.size()), core::runtime_clock::now()))
            {
                break;
            }
        }
        co_return dispatch_result::failed(certainty, std::move(cause));
    }

    /// Requests that may be in flight on the service, for the admission queue.
    core::slot_count limit(const core::service_id& service) const
    {
        return this->state.limit(
            service, this->standings.find(service), core::runtime_clock::now());
    }

    int in_flight(const core::worker_id& worker_id) const
    {
        return this->state.in_flight(worker_id);
    }

    /// Receives service limits, capacity shares, overload, drains and load
    /// hints.
    dispatch_state& get_state() { return this->state; }
    connection_pool& get_connections() { return this->connections; }

    std::uint64_t count_faulty_connections() const
    {
        return this->attempts.count_faulty_connections();
    }

private:
    std::optional<worker> choose(const forward_request& request,
        const std::vector<core::worker_id>& tried)
    {
        const auto now = core::runtime_clock::now();
        const auto& service = request.get_service();
        return choose_worker(this->policy,
            this->state.candidates(service, this->standings.find(service), now),
            tried, request.is_idempotent(), random_bits());
    }

    boost::asio::awaitable<attempt_outcome> attempt(
        const worker& chosen, const forward_request& request)
    {
        const auto& worker_id = chosen.get_id();
        const auto& service = request.get_service();
        const auto started = core::runtime_clock::now();
        const int in_flight = this->state.start(service, worker_id);
        auto outcome = co_await this->attempts.run(chosen, request);
        const auto now = core::runtime_clock::now();
        const auto result = outcome.get_last().get_result();
        this->state.finish(
            service, worker_id, result, now - started, in_flight, now);
        if (result == attempt_result::refused_draining)
        {
            this->state.record_drain(
                worker_id, drain_source::worker_reply, now);
        }
        if (const auto shown = outcome.get_evidence())
        {
            this->evidence.record(service, worker_id,
                evidence_result(*shown, outcome.get_last().get_status()),
                now - started, now);
        }
        if (outcome.is_crash())
        {
            this->crashes.on_crash(request, worker_id, started, now);
        }
        co_return outcome;
    }

    const Standings& standings;
    Evidence& evidence;
    Crashes& crashes;
    Policy policy;
    dispatch_state state;
    connection_pool connections;
    attempt_runner attempts;
};

} // namespace pollenward::upstream
