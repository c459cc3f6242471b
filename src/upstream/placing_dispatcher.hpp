#pragma once

#include "core/ids.hpp"
#include "core/runtime_timer.hpp"
#include "core/sharded_map.hpp"
#include "operators/event.hpp"
#include "upstream/connection_pool.hpp"
#include "upstream/dispatch_result.hpp"
#include "upstream/dispatcher.hpp"
#include "upstream/forward_request.hpp"
#include "upstream/in_flight_request.hpp"
#include "upstream/placement_state.hpp"
#include "upstream/record_notices.hpp"
#include "upstream/retry_allowance_registry.hpp"
#include "upstream/send_plan.hpp"
#include "upstream/stop_deadline.hpp"

#include <boost/asio/bind_cancellation_slot.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>

#include <algorithm>
#include <atomic>
#include <exception>
#include <memory>
#include <utility>
#include <vector>

namespace pollenward::upstream {

/// Reads the running and waiting requests that a worker reports in its
/// response; nothing if it reports none.
template <class Type>
concept load_codec = requires(const response_message& response) {
    {
        Type::load_of(response)
    } -> std::same_as<std::optional<std::pair<double, double>>>;
};

/// Limits of a placing_dispatcher.
struct dispatch_limits {
    /// Connections that this daemon may have open to one worker.
    int connections_per_worker = 8;
    /// Time limit of a connect, which takes a few milliseconds within a region
    /// and 60 ms across regions. The kernel resends the first lost packet only
    /// after one second.
    core::milliseconds connect_timeout{ 400 };
    /// An older idle connection may have been closed by the worker or have gone
    /// silent, and a request that is lost with it cannot be repeated. A new
    /// connection costs a worker one millisecond.
    core::milliseconds max_idle_time{ 1000 };
    /// Bounds the responses that are read at the same time.
    core::memory_budget bodies = core::memory_budget::unlimited();
};

/// Sends each request to the worker that is most likely to answer it, by the
/// recent observations of the zone's daemons, and hedges idempotent requests
/// whose answer is late. Each request must run on a strand; the dispatcher must
/// outlive all of them.
template <worker_codec Codec, crash_observer Crashes,
    timeout_source Timeouts = no_timeouts>
    requires load_codec<Codec>
class placing_dispatcher {
public:
    placing_dispatcher(boost::asio::any_io_executor executor,
        placement_state& placement, Crashes& crashes, retry_limits terms,
        placement_costs costs = {}, dispatch_limits limits = {},
        const Timeouts& timeouts = without_timeouts)
        : placement(placement)
        , crashes(crashes)
        , costs(costs)
        , limits(limits)
        , timeouts(timeouts)
        , connections(std::move(executor), limits.max_idle_time, limits.bodies)
        , allowances(terms)
    {
    }

    boost::asio::awaitable<dispatch_result> dispatch(
        const forward_request& request)
    {
        this->allowances.count_request(request.get_service());
        const auto shared = std::make_shared<in_flight_request>(
            co_await boost::asio::this_coro::executor, request);
        const in_flight_table::entry entered(this->requests, shared);
        while (true)
        {
            if (!this->advance(shared))
            {
                break;
            }
            boost::system::error_code ignored;
            shared->wake_timer.expires_at(this->next_wake_time(*shared));
            co_await shared->wake_timer.async_wait(boost::asio::redirect_error(
                boost::asio::use_awaitable, ignored));
            const auto state
                = co_await boost::asio::this_coro::cancellation_state;
            if (state.cancelled() != boost::asio::cancellation_type::none)
            {
                break;
            }
        }
        co_return this->conclude(*shared);
    }

    /// From now on, requests in flight wait until their stop_deadline(): the
    /// daemon that stops must not answer in place of a worker that is at work.
    void begin_stop() { this->stopping = true; }

    /// Ends all requests at `time`, including those in flight; a send without
    /// an answer by then has an unknown outcome.
    void end_by(core::time_point time)
    {
        this->shutdown_deadline = time;
        this->requests.wake_all();
    }

    retry_allowance_registry& get_allowances() { return this->allowances; }
    connection_pool& get_connections() { return this->connections; }

private:
    core::time_point effective_deadline(
        const in_flight_request& in_flight) const
    {
        const forward_request& request = in_flight.request;
        const auto deadline = this->stopping
            ? stop_deadline(request, this->timeouts)
            : request.get_deadline();
        return std::min(deadline, this->shutdown_deadline.load());
    }

    /// Processes the sends that have ended and starts the next one if it is
    /// due. False when the request has its final outcome.
    bool advance(const in_flight_request_ptr& shared)
    {
        in_flight_request& in_flight = *shared;
        bool has_failed = in_flight.sends.empty();
        bool may_repeat = in_flight.sends.empty();
        for (request_send& each : in_flight.sends)
        {
            if (!each.result || each.is_settled)
            {
                continue;
            }
            each.is_settled = true;
            has_failed = true;
            if (each.result->get_response())
            {
                in_flight.answer = each.result->get_response();
                in_flight.certainty = run_certainty::ran;
                // Another worker may not have the fault, so a server error does
                // not end an idempotent request.
                may_repeat
                    = may_repeat || this->may_retry_answer(in_flight, each);
            }
            else
            {
                const auto result = each.result->get_result();
                if (certainty_of(result) != run_certainty::not_run
                    && in_flight.certainty == run_certainty::not_run)
                {
                    in_flight.certainty = run_certainty::unknown;
                }
                in_flight.cause = each.result->get_cause();
                may_repeat = may_repeat
                    || may_send_again(in_flight.progress(), result);
            }
        }
        const auto now = core::runtime_clock::now();
        const bool is_late = now >= this->effective_deadline(in_flight);
        const auto progress = in_flight.progress();
        const bool has_final_answer = in_flight.answer
            && in_flight.answer->get_status() < first_server_error;
        if (has_final_answer || is_late)
        {
            return false;
        }
        const auto second_send_time = time_of_second_send(
            progress, this->placement.profile(in_flight.request.get_service()));
        const bool is_second_due = second_send_time && now >= *second_send_time;
        const bool may_send = now < progress.deadline;
        if (may_send && ((has_failed && may_repeat) || is_second_due))
        {
            this->start_send(shared, now);
        }
        return in_flight.progress().waiting > 0;
    }

    static constexpr unsigned first_server_error = 500;

    bool may_retry_answer(
        const in_flight_request& in_flight, const request_send& answered) const
    {
        const auto progress = in_flight.progress();
        return answered.result->get_status() >= first_server_error
            && progress.is_idempotent && progress.sends < progress.max_sends;
    }

    core::time_point next_wake_time(const in_flight_request& in_flight) const
    {
        const auto second_send_time = time_of_second_send(in_flight.progress(),
            this->placement.profile(in_flight.request.get_service()));
        const auto deadline = this->effective_deadline(in_flight);
        // A second send that is due but was refused by the retry budget is not
        // tried again.
        return second_send_time
                && *second_send_time > core::runtime_clock::now()
            ? std::min(*second_send_time, deadline)
            : deadline;
    }

    void start_send(const in_flight_request_ptr& shared, core::time_point now)
    {
        in_flight_request& in_flight = *shared;
        const auto& service = in_flight.request.get_service();
        const bool is_first = in_flight.sends.empty();
        const auto candidates
            = this->placement.candidates(service, in_flight.tried, now);
        const auto profile = this->placement.profile(service);
        const double target = std::max(
            core::to_seconds(in_flight.request.get_target_latency()), 0.1);
        const placement_request wanted{ in_flight.request.is_idempotent(),
            in_flight.request.get_rank(),
            core::to_seconds(profile.expected()) / target };
        const auto chosen
            = choose_placement(candidates, wanted, this->costs, random_bits());
        if (!chosen
            || (!is_first && !this->allowances.try_acquire_send(service)))
        {
            return;
        }
        const placement_candidate& place = candidates[*chosen];
        const auto& worker_id = place.get_worker().get_worker().get_id();
        operators::write(operators::event::make("request.sent")
                             .with("request", in_flight.request.get_id())
                             .with("service", service)
                             .with("worker", worker_id)
                             .with("send", in_flight.sends.size() + 1)
                             .with("loss", place.get_loss())
                             .with("load", place.get_load())
                             .with("candidates", candidates.size()));
        in_flight.tried.push_back(worker_id);
        in_flight.sends.emplace_back();
        request_send& send = in_flight.sends.back();
        send.target = place.get_worker();
        send.started_at = now;
        this->placement.record_send(place.get_worker().get_worker(), now);
        boost::asio::co_spawn(in_flight.wake_timer.get_executor(),
            this->run_send(shared, in_flight.sends.size() - 1),
            boost::asio::bind_cancellation_slot(send.cancel.slot(),
                [shared](const std::exception_ptr& /*none*/) {
                    // The signal must outlive the coroutine that is bound to
                    // it, even if the request has already ended.
                    boost::asio::post(
                        shared->wake_timer.get_executor(), [shared] {});
                }));
    }

    /// Never throws: the waiting request must be woken when the send ends.
    boost::asio::awaitable<void> run_send(
        in_flight_request_ptr shared, std::size_t index)
    {
        co_await boost::asio::this_coro::throw_if_cancelled(false);
        request_send& send = shared->sends[index];
        std::string failure;
        try
        {
            send.result = co_await this->exchange(shared->request, send);
        }
        catch (const std::exception& thrown)
        {
            failure = thrown.what();
        }
        if (!send.result)
        {
            send.result
                = exchange_result::failed(attempt_result::broken_after_send,
                    core::error::make("send request",
                        send.target.get_worker().get_address().str(), failure));
        }
        this->record_end(*shared, send);
        shared->wake_timer.cancel();
    }

    boost::asio::awaitable<exchange_result> exchange(
        const forward_request& request, request_send& send)
    {
        const worker& target = send.target.get_worker();
        const auto now = core::runtime_clock::now();
        if (send.is_cancelled)
        {
            co_return exchange_result::failed(attempt_result::not_sent,
                core::error::make("connect to worker",
                    target.get_address().str(), "the request was cancelled"));
        }
        auto lease = this->connections.acquire(
            target, this->limits.connections_per_worker, now);
        core::error reason = core::error::make("connect to worker",
            target.get_address().str(), "all connections are in use");
        bool is_connected = lease && lease->is_reused();
        if (lease && !is_connected)
        {
            is_connected = co_await lease->get_connection().connect(
                std::min(
                    request.get_deadline(), now + this->limits.connect_timeout),
                reason);
        }
        const auto state = co_await boost::asio::this_coro::cancellation_state;
        const bool is_cancelled = send.is_cancelled
            || state.cancelled() != boost::asio::cancellation_type::none;
        // The process may have been suspended since the decision to send.
        if (!is_connected || is_cancelled
            || core::runtime_clock::now() >= request.get_deadline())
        {
            co_return exchange_result::failed(attempt_result::not_sent, reason);
        }
        auto result = co_await lease->get_connection().template exchange<Codec>(
            request, target.get_id());
        co_return result;
    }

    /// The evidence about its worker that an ended send gives, if any.
    std::optional<sample_state> evidence_of(
        const forward_request& request, const request_send& ended) const
    {
        const auto result = ended.result->get_result();
        switch (result)
        {
        case attempt_result::answered:
            if (ended.result->get_pause_seconds())
            {
                return std::nullopt;
            }
            return is_failure(result, ended.result->get_status())
                ? sample_state::failed
                : sample_state::answered;
        case attempt_result::broken_after_send:
            return sample_state::failed;
        case attempt_result::timed_out:
        case attempt_result::silent:
        case attempt_result::cancelled:
            break;
        case attempt_result::not_sent:
        case attempt_result::refused_shed:
        case attempt_result::refused_draining:
        case attempt_result::refused_expired:
            return std::nullopt;
        }
        // An abandoned send counts against the worker if it was already late.
        const auto waited = core::runtime_clock::now() - ended.started_at;
        const bool was_late
            = this->placement.profile(request.get_service()).survival(waited)
            <= late_share;
        return was_late ? std::optional(sample_state::failed) : std::nullopt;
    }

    void record_end(in_flight_request& in_flight, const request_send& ended)
    {
        const auto now = core::runtime_clock::now();
        const auto& service = in_flight.request.get_service();
        const auto& worker_id = ended.target.get_worker().get_id();
        const auto result = ended.result->get_result();
        this->placement.record_send_end(service, worker_id, ended.started_at,
            this->evidence_of(in_flight.request, ended), now);
        const bool shows_path_state = result != attempt_result::cancelled
            && result != attempt_result::timed_out;
        if (shows_path_state && !ended.is_cancelled)
        {
            this->placement.record_path_result(service, worker_id, result, now);
        }
        if (has_answer(result))
        {
            this->placement.record_rate(
                worker_id, ended.result->get_rate_limit(), now);
        }
        if (result == attempt_result::refused_draining)
        {
            this->placement.exclude_worker(worker_id);
        }
        else
        {
            record_notices(this->placement.get_notices(),
                in_flight.request.get_id(), ended.target, *ended.result, now);
        }
        if (result == attempt_result::refused_shed)
        {
            // A worker that sheds is full: all its slots are busy, and as many
            // requests are assumed to wait.
            const auto slots
                = static_cast<double>(ended.target.get_slots().get());
            this->placement.record_load(
                worker_id, load_hint::make(slots, slots, now));
        }
        if (const auto& response = ended.result->get_response())
        {
            if (const auto load = Codec::load_of(*response))
            {
                this->placement.record_load(
                    worker_id, load_hint::make(load->first, load->second, now));
            }
        }
        if (result == attempt_result::broken_after_send)
        {
            boost::asio::co_spawn(in_flight.wake_timer.get_executor(),
                this->check_crash(in_flight.request, ended.target.get_worker(),
                    ended.started_at, now),
                boost::asio::detached);
        }
        operators::write(operators::event::make("request.send_ended")
                             .with("request", in_flight.request.get_id())
                             .with("worker", worker_id)
                             .with("result", to_string(result))
                             .with("status", ended.result->get_status())
                             .with("ms", now - ended.started_at)
                             .with("cause", ended.result->get_cause()));
    }

    /// Reports a crash only if the worker accepts no new connection, since a
    /// connection can break for other reasons.
    boost::asio::awaitable<void> check_crash(forward_request request,
        worker suspect, core::time_point started_at, core::time_point ended_at)
    {
        worker_connection trial(
            co_await boost::asio::this_coro::executor, suspect.get_address());
        core::error reason;
        const bool is_reachable = co_await trial.connect(
            core::runtime_clock::now() + this->limits.connect_timeout, reason);
        if (!is_reachable)
        {
            this->crashes.on_crash(
                request, suspect.get_id(), started_at, ended_at);
        }
    }

    dispatch_result conclude(in_flight_request& in_flight)
    {
        for (request_send& each : in_flight.sends)
        {
            if (!each.result)
            {
                in_flight.certainty = in_flight.answer ? in_flight.certainty
                                                       : run_certainty::unknown;
                each.is_cancelled = true;
                each.cancel.emit(boost::asio::cancellation_type::terminal);
            }
        }
        if (in_flight.answer)
        {
            return dispatch_result::answered(*in_flight.answer);
        }
        return dispatch_result::failed(in_flight.certainty, in_flight.cause)
            .with_retry_after(this->placement.shortest_pause(
                in_flight.request.get_service(), core::runtime_clock::now()));
    }

    placement_state& placement;
    Crashes& crashes;
    placement_costs costs;
    dispatch_limits limits;
    const Timeouts& timeouts;
    connection_pool connections;
    retry_allowance_registry allowances;
    in_flight_table requests;
    std::atomic<bool> stopping{ false };
    std::atomic<core::time_point> shutdown_deadline{ core::time_point::max() };
};

} // namespace pollenward::upstream
