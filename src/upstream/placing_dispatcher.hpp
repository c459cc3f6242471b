#pragma once

#include "core/ids.hpp"
#include "core/runtime_timer.hpp"
#include "core/sharded_map.hpp"
#include "core/sharded_snapshot.hpp"
#include "operators/event.hpp"
#include "upstream/connection_pool.hpp"
#include "upstream/dispatch_result.hpp"
#include "upstream/dispatcher.hpp"
#include "upstream/exchange_result.hpp"
#include "upstream/forward_request.hpp"
#include "upstream/retry_allowance.hpp"
#include "upstream/send_plan.hpp"
#include "upstream/worker_board.hpp"

#include <boost/asio/bind_cancellation_slot.hpp>
#include <boost/asio/cancellation_signal.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>

#include <algorithm>
#include <atomic>
#include <deque>
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
        worker_board& board, Crashes& crashes, retry_terms terms,
        placement_costs costs = {}, dispatch_limits limits = {})
        : board(board)
        , crashes(crashes)
        , terms(terms)
        , costs(costs)
        , limits(limits)
        , connections(std::move(executor), limits.idle_connection_time)
    {
    }

    boost::asio::awaitable<dispatch_result> dispatch(
        const forward_request& request)
    {
        this->count_request(request.get_service());
        const auto shared = std::make_shared<flight>(
            co_await boost::asio::this_coro::executor, request);
        const flight_entry entered(this->flights, shared);
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
        for (const auto& [number, each] : this->flights.entries())
        {
            if (const auto shared = each.lock())
            {
                boost::asio::post(shared->wake.get_executor(),
                    [shared] { shared->wake.cancel(); });
            }
        }
    }

    /// Starts the allowance of each service anew.
    void set_terms(const retry_terms& changed)
    {
        this->terms.store(changed);
        this->allowances.erase_if(
            [](const auto&, const auto&) { return true; });
    }

    /// The number of daemons that share the allowance for second sends.
    void set_daemons(double count) { this->daemons = count; }

    connection_pool& get_connections() { return this->connections; }

private:
    /// One send of a request to a worker.
    struct send {
        listed_worker who;
        core::time_point started_at;
        boost::asio::cancellation_signal cancel;
        /// The signal reaches a coroutine only once it has started.
        bool is_cancelled = false;
        std::optional<exchange_result> result;
        /// Its end has been looked at.
        bool is_settled = false;
    };

    /// A request and all its sends. Used on one strand only.
    struct flight {
        flight(const boost::asio::any_io_executor& executor,
            const forward_request& request)
            : wake(executor)
            , request(request)
        {
        }

        core::runtime_timer wake;
        forward_request request;
        std::deque<send> sends;
        std::vector<core::worker_id> tried;
        std::optional<response_message> answer;
        run_certainty certainty = run_certainty::not_run;
        core::error cause = core::error::make(
            "choose worker", "self", "no worker may get the request");

        send_progress progress() const
        {
            send_progress now;
            now.is_idempotent = this->request.is_idempotent();
            now.max_sends = this->request.get_max_attempts();
            now.deadline = this->request.get_deadline();
            for (const send& each : this->sends)
            {
                const bool is_waiting = !each.result;
                const bool may_have_run = is_waiting
                    || certainty_of(each.result->get_result())
                        != run_certainty::not_run;
                now.sends += may_have_run ? 1 : 0;
                now.waiting += is_waiting ? 1 : 0;
                now.last_sent_at
                    = is_waiting ? each.started_at : now.last_sent_at;
            }
            return now;
        }
    };

    using shared_flight = std::shared_ptr<flight>;
    using flight_table
        = core::sharded_map<const flight*, std::weak_ptr<flight>>;

    /// Lists a request while it is under way.
    class flight_entry {
    public:
        flight_entry(flight_table& table, const shared_flight& shared)
            : table(table)
            , key(shared.get())
        {
            this->table.store(this->key, shared);
        }
        flight_entry(const flight_entry&) = delete;
        flight_entry& operator=(const flight_entry&) = delete;
        ~flight_entry() { this->table.erase(this->key); }

    private:
        flight_table& table;
        const flight* key;
    };

    core::time_point end_of(const flight& mine) const
    {
        return std::min(mine.request.get_deadline(), this->last_end.load());
    }

    /// Looks at what has ended and starts what is due. False when the request
    /// is decided.
    bool advance(const shared_flight& shared)
    {
        flight& mine = *shared;
        bool has_failed = mine.sends.empty();
        bool may_repeat = mine.sends.empty();
        for (send& each : mine.sends)
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

    bool is_worth_repeating(const flight& mine, const send& answered) const
    {
        const auto progress = mine.progress();
        return answered.result->get_status() >= first_server_error
            && progress.is_idempotent && progress.sends < progress.max_sends;
    }

    core::time_point next_step(const flight& mine) const
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
        flight& mine = *shared;
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
        if (!chosen || (!is_first && !this->take_send(service)))
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
        send& begun = mine.sends.back();
        begun.who = place.get_worker();
        begun.started_at = now;
        this->board.begin(who, now);
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
        send& mine = shared->sends[index];
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
        const forward_request& request, send& mine)
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
    std::optional<trace_state> evidence_of(
        const forward_request& request, const send& ended) const
    {
        const auto result = ended.result->get_result();
        switch (result)
        {
        case attempt_result::answered:
            return is_failure(result, ended.result->get_status())
                ? trace_state::failed
                : trace_state::answered;
        case attempt_result::broken_after_send:
            return trace_state::failed;
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
        return was_late ? std::optional(trace_state::failed) : std::nullopt;
    }

    void record_end(flight& mine, const send& ended)
    {
        const auto now = core::runtime_clock::now();
        const auto& service = mine.request.get_service();
        const auto& who = ended.who.get_worker().get_id();
        const auto result = ended.result->get_result();
        this->board.end(service, who, ended.started_at,
            this->evidence_of(mine.request, ended), now);
        const bool is_path_proof = result != attempt_result::cancelled
            && result != attempt_result::timed_out;
        if (is_path_proof && !ended.is_cancelled)
        {
            this->board.note_path(service, who, result, now);
        }
        if (result == attempt_result::refused_draining)
        {
            this->board.note_gone(who);
        }
        if (result == attempt_result::refused_shed)
        {
            // Full: as many run as it has slots, and some wait.
            const auto slots = static_cast<double>(ended.who.get_slots().get());
            this->board.note_load(who, load_hint::make(slots, slots, now));
        }
        if (const auto& response = ended.result->get_response())
        {
            if (const auto load = Codec::load_of(*response))
            {
                this->board.note_load(
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

    dispatch_result conclude(flight& mine)
    {
        for (send& each : mine.sends)
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

    void count_request(const core::service_id& service)
    {
        this->visit_allowance(
            service, [](retry_allowance& mine) { mine = mine.with_request(); });
    }

    bool take_send(const core::service_id& service)
    {
        return this->visit_allowance(service, [](retry_allowance& mine) {
            const bool is_paid = mine.allows_send();
            mine = mine.with_send();
            return is_paid;
        });
    }

    template <class Visit>
    auto visit_allowance(const core::service_id& service, Visit visit)
    {
        return this->allowances.visit(
            service,
            [this] {
                return retry_allowance::make(
                    this->terms.read(
                        [](const retry_terms& now) { return now; }),
                    this->daemons.load());
            },
            visit);
    }

    worker_board& board;
    Crashes& crashes;
    core::sharded_snapshot<retry_terms> terms;
    placement_costs costs;
    dispatch_limits limits;
    std::atomic<double> daemons{ 50 };
    connection_pool connections;
    core::sharded_map<core::service_id, retry_allowance> allowances;
    flight_table flights;
    std::atomic<core::time_point> last_end{ core::time_point::max() };
};

} // namespace pollenward::upstream
