#pragma once

#include "core/ids.hpp"
#include "core/runtime_timer.hpp"
#include "core/sharded_map.hpp"
#include "operators/event.hpp"
#include "upstream/connection_pool.hpp"
#include "upstream/dispatch_result.hpp"
#include "upstream/dispatcher.hpp"
#include "upstream/forward_request.hpp"
#include "upstream/placement_state.hpp"
#include "upstream/request_flight.hpp"
#include "upstream/retry_allowance_registry.hpp"
#include "upstream/send_plan.hpp"

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

/// Reads what a worker says of its load from its response; nothing if it says
/// nothing.
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
    /// Time for a connect. Within a region one takes a few milliseconds and
    /// across regions 60; the first lost packet costs the kernel a second.
    core::milliseconds connect_time{ 400 };
    /// An idle connection that is older may have been closed by the worker or
    /// gone silent, and a request that is lost with it cannot be repeated. A
    /// new connection costs a worker a millisecond.
    core::milliseconds idle_connection_time{ 1000 };
};

/// Sends requests to the workers that will most likely answer them, by what
/// the daemons of the zone saw lately, and sends idempotent ones again when an
/// answer is late. Each request must run on a strand; the dispatcher must
/// outlive all of them.
template <worker_codec Codec, crash_observer Crashes>
    requires load_codec<Codec>
class placing_dispatcher {
public:
    placing_dispatcher(boost::asio::any_io_executor executor,
        placement_state& board, Crashes& crashes, retry_limits terms,
        placement_costs costs = {}, dispatch_limits limits = {})
        : board(board)
        , crashes(crashes)
        , costs(costs)
        , limits(limits)
        , connections(std::move(executor), limits.idle_connection_time)
        , allowances(terms)
    {
    }

    boost::asio::awaitable<dispatch_result> dispatch(
        const forward_request& request)
    {
        this->allowances.count_request(request.get_service());
        const auto shared = std::make_shared<request_flight>(
            co_await boost::asio::this_coro::executor, request);
        const flight_table::entry entered(this->flights, shared);
        while (true)
        {
            if (!this->advance(shared))
            {
                break;
            }
            boost::system::error_code ignored;
            shared->wake.expires_at(this->next_step(*shared));
            co_await shared->wake.async_wait(boost::asio::redirect_error(
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

    /// Ends all requests at that time, also those that are under way: a send
    /// without an answer by then has an unknown outcome.
    void end_by(core::time_point time)
    {
        this->last_end = time;
        this->flights.wake_all();
    }

    retry_allowance_registry& get_allowances() { return this->allowances; }
    connection_pool& get_connections() { return this->connections; }

private:
    core::time_point end_of(const request_flight& mine) const
    {
        return std::min(mine.request.get_deadline(), this->last_end.load());
    }

    /// Looks at what has ended and starts what is due. False when the request
    /// is decided.
    bool advance(const shared_flight& shared)
    {
        request_flight& mine = *shared;
        bool has_failed = mine.sends.empty();
        bool may_repeat = mine.sends.empty();
        for (flight_send& each : mine.sends)
        {
            if (!each.result || each.is_settled)
            {
                continue;
            }
            each.is_settled = true;
            has_failed = true;
            if (each.result->get_response())
            {
                mine.answer = each.result->get_response();
                mine.certainty = run_certainty::ran;
                // A fault that another worker may not have is not the last
                // word on an idempotent request.
                may_repeat = may_repeat || this->is_worth_repeating(mine, each);
            }
            else
            {
                const auto result = each.result->get_result();
                if (certainty_of(result) != run_certainty::not_run
                    && mine.certainty == run_certainty::not_run)
                {
                    mine.certainty = run_certainty::unknown;
                }
                mine.cause = each.result->get_cause();
                may_repeat
                    = may_repeat || may_send_again(mine.progress(), result);
            }
        }
        const auto now = core::runtime_clock::now();
        const bool is_late = now >= this->end_of(mine);
        const auto progress = mine.progress();
        const bool has_good_answer
            = mine.answer && mine.answer->get_status() < first_server_error;
        if (has_good_answer || is_late)
        {
            return false;
        }
        const auto second = time_of_second_send(
            progress, this->board.profile(mine.request.get_service()));
        const bool is_second_due = second && now >= *second;
        if ((has_failed && may_repeat) || is_second_due)
        {
            this->start_send(shared, now);
        }
        return mine.progress().waiting > 0;
    }

    static constexpr unsigned first_server_error = 500;

    bool is_worth_repeating(
        const request_flight& mine, const flight_send& answered) const
    {
        const auto progress = mine.progress();
        return answered.result->get_status() >= first_server_error
            && progress.is_idempotent && progress.sends < progress.max_sends;
    }

    core::time_point next_step(const request_flight& mine) const
    {
        const auto second = time_of_second_send(
            mine.progress(), this->board.profile(mine.request.get_service()));
        const auto deadline = this->end_of(mine);
        // A second send that is due but was not paid for is not tried again.
        return second && *second > core::runtime_clock::now()
            ? std::min(*second, deadline)
            : deadline;
    }

    void start_send(const shared_flight& shared, core::time_point now)
    {
        request_flight& mine = *shared;
        const auto& service = mine.request.get_service();
        const bool is_first = mine.sends.empty();
        const auto candidates
            = this->board.candidates(service, mine.tried, now);
        const auto profile = this->board.profile(service);
        const double target = std::max(
            core::to_seconds(mine.request.get_target_latency()), 0.1);
        const auto chosen
            = choose_placement(candidates, mine.request.is_idempotent(),
                core::to_seconds(profile.expected()) / target, this->costs,
                random_bits());
        if (!chosen
            || (!is_first && !this->allowances.try_acquire_send(service)))
        {
            return;
        }
        const placement_candidate& place = candidates[*chosen];
        const auto& who = place.get_worker().get_worker().get_id();
        operators::write(operators::event::make("request.sent")
                             .with("request", mine.request.get_id())
                             .with("service", service)
                             .with("worker", who)
                             .with("send", mine.sends.size() + 1)
                             .with("loss", place.get_loss())
                             .with("load", place.get_load())
                             .with("candidates", candidates.size()));
        mine.tried.push_back(who);
        mine.sends.emplace_back();
        flight_send& begun = mine.sends.back();
        begun.who = place.get_worker();
        begun.started_at = now;
        this->board.record_send(who, now);
        boost::asio::co_spawn(mine.wake.get_executor(),
            this->run_send(shared, mine.sends.size() - 1),
            boost::asio::bind_cancellation_slot(begun.cancel.slot(),
                [shared](const std::exception_ptr& /*none*/) {
                    // The signal must outlive the coroutine that is bound to
                    // it, also if the request has ended before.
                    boost::asio::post(shared->wake.get_executor(), [shared] {});
                }));
    }

    /// Never throws: the waiting request must hear of the end.
    boost::asio::awaitable<void> run_send(
        shared_flight shared, std::size_t index)
    {
        co_await boost::asio::this_coro::throw_if_cancelled(false);
        flight_send& mine = shared->sends[index];
        std::string failure;
        try
        {
            mine.result = co_await this->exchange(shared->request, mine);
        }
        catch (const std::exception& thrown)
        {
            failure = thrown.what();
        }
        if (!mine.result)
        {
            mine.result
                = exchange_result::failed(attempt_result::broken_after_send,
                    core::error::make("send request",
                        mine.who.get_worker().get_address().str(), failure));
        }
        this->record_end(*shared, mine);
        shared->wake.cancel();
    }

    boost::asio::awaitable<exchange_result> exchange(
        const forward_request& request, flight_send& mine)
    {
        const worker& who = mine.who.get_worker();
        const auto now = core::runtime_clock::now();
        if (mine.is_cancelled)
        {
            co_return exchange_result::failed(attempt_result::not_sent,
                core::error::make("connect to worker", who.get_address().str(),
                    "the caller has left"));
        }
        auto lease = this->connections.acquire(
            who, this->limits.connections_per_worker, now);
        core::error reason = core::error::make("connect to worker",
            who.get_address().str(), "all connections are in use");
        bool is_connected = lease && lease->is_reused();
        if (lease && !is_connected)
        {
            is_connected = co_await lease->get_connection().connect(
                std::min(
                    request.get_deadline(), now + this->limits.connect_time),
                reason);
        }
        const auto state = co_await boost::asio::this_coro::cancellation_state;
        const bool is_cancelled = mine.is_cancelled
            || state.cancelled() != boost::asio::cancellation_type::none;
        // The process may have stood still since the decision to send.
        if (!is_connected || is_cancelled
            || core::runtime_clock::now() >= request.get_deadline())
        {
            co_return exchange_result::failed(attempt_result::not_sent, reason);
        }
        auto result = co_await lease->get_connection().template exchange<Codec>(
            request, who.get_id());
        co_return result;
    }

    /// What the end of a send shows about its worker.
    std::optional<sample_state> evidence_of(
        const forward_request& request, const flight_send& ended) const
    {
        const auto result = ended.result->get_result();
        switch (result)
        {
        case attempt_result::answered:
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
        // Given up: it counts against the worker if it was late by then.
        const auto waited = core::runtime_clock::now() - ended.started_at;
        const bool was_late
            = this->board.profile(request.get_service()).survival(waited)
            <= late_share;
        return was_late ? std::optional(sample_state::failed) : std::nullopt;
    }

    void record_end(request_flight& mine, const flight_send& ended)
    {
        const auto now = core::runtime_clock::now();
        const auto& service = mine.request.get_service();
        const auto& who = ended.who.get_worker().get_id();
        const auto result = ended.result->get_result();
        this->board.record_send_end(service, who, ended.started_at,
            this->evidence_of(mine.request, ended), now);
        const bool is_path_proof = result != attempt_result::cancelled
            && result != attempt_result::timed_out;
        if (is_path_proof && !ended.is_cancelled)
        {
            this->board.record_path_result(service, who, result, now);
        }
        if (result == attempt_result::refused_draining)
        {
            this->board.exclude_worker(who);
        }
        if (result == attempt_result::refused_shed)
        {
            // Full: as many run as it has slots, and some wait.
            const auto slots = static_cast<double>(ended.who.get_slots().get());
            this->board.record_load(who, load_hint::make(slots, slots, now));
        }
        if (const auto& response = ended.result->get_response())
        {
            if (const auto load = Codec::load_of(*response))
            {
                this->board.record_load(
                    who, load_hint::make(load->first, load->second, now));
            }
        }
        if (result == attempt_result::broken_after_send)
        {
            boost::asio::co_spawn(mine.wake.get_executor(),
                this->check_crash(mine.request, ended.who.get_worker()),
                boost::asio::detached);
        }
        operators::write(operators::event::make("request.send_ended")
                             .with("request", mine.request.get_id())
                             .with("worker", who)
                             .with("result", to_string(result))
                             .with("status", ended.result->get_status())
                             .with("ms", now - ended.started_at)
                             .with("cause", ended.result->get_cause()));
    }

    /// A connection can break for other reasons: a worker that crashed does
    /// not accept a new one.
    boost::asio::awaitable<void> check_crash(
        forward_request request, worker suspect)
    {
        worker_connection trial(
            co_await boost::asio::this_coro::executor, suspect.get_address());
        core::error reason;
        const bool is_there = co_await trial.connect(
            core::runtime_clock::now() + this->limits.connect_time, reason);
        if (!is_there)
        {
            this->crashes.on_crash(request, suspect.get_id());
        }
    }

    dispatch_result conclude(request_flight& mine)
    {
        for (flight_send& each : mine.sends)
        {
            if (!each.result)
            {
                mine.certainty
                    = mine.answer ? mine.certainty : run_certainty::unknown;
                each.is_cancelled = true;
                each.cancel.emit(boost::asio::cancellation_type::terminal);
            }
        }
        return mine.answer
            ? dispatch_result::answered(*mine.answer)
            : dispatch_result::failed(mine.certainty, mine.cause);
    }

    placement_state& board;
    Crashes& crashes;
    placement_costs costs;
    dispatch_limits limits;
    connection_pool connections;
    retry_allowance_registry allowances;
    flight_table flights;
    std::atomic<core::time_point> last_end{ core::time_point::max() };
};

} // namespace pollenward::upstream
