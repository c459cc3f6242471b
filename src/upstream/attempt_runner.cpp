#include "upstream/attempt_runner.hpp"

#include "core/runtime_timer.hpp"

#include <boost/asio/this_coro.hpp>

#include <algorithm>
#include <utility>

namespace pollenward::upstream {

namespace asio = boost::asio;

namespace {

    /// No operation may be awaited after a cancellation: it would throw.
    bool is_cancelled(const asio::cancellation_state& state)
    {
        return state.cancelled() != asio::cancellation_type::none;
    }

    core::time_point connect_deadline(const forward_request& request)
    {
        const auto now = core::runtime_clock::now();
        return now + progress_limit(request.get_deadline(), now);
    }

    bool is_answer(const exchange_result& result)
    {
        return result.get_result() == attempt_result::answered;
    }

    /// Waits until the exchange, which has just begun, moves no byte for the
    /// progress limit; returns early when cancelled.
    asio::awaitable<void> wait_for_silence(
        const worker_connection& connection, core::time_point deadline)
    {
        const auto began = core::runtime_clock::now();
        const auto limit = progress_limit(deadline, began);
        while (true)
        {
            const auto expiry
                = std::max(began, connection.get_last_progress()) + limit;
            const auto state = co_await asio::this_coro::cancellation_state;
            if (is_cancelled(state) || core::runtime_clock::now() >= expiry)
            {
                co_return;
            }
            co_await core::wait_until(expiry);
        }
    }

    /// What two exchanges with the same worker show when the second was made
    /// because of the first.
    attempt_outcome combine(
        const exchange_result& first, const attempt_outcome& second)
    {
        const auto result = second.get_last().get_result();
        // A worker that broke the first exchange and is gone now has crashed.
        const bool is_gone
            = first.get_result() == attempt_result::broken_after_send
            && result == attempt_result::not_sent && second.get_evidence();
        const bool is_uncertain
            = certainty_of(first.get_result()) == run_certainty::unknown
            && result != attempt_result::answered;
        return second.with_crash(second.is_crash() || is_gone)
            .with_certainty(
                is_uncertain ? run_certainty::unknown : second.get_certainty());
    }

} // namespace

/// The exchange of an idempotent request on a pooled connection, and the one
/// that may be started beside it. All members are used on one strand.
struct attempt_runner::race {
    const worker& who;
    const forward_request& request;
    connection_lease& first;
    std::optional<exchange_result> first_result;
    std::optional<connection_lease> second;
    std::optional<attempt_outcome> second_outcome;
};

asio::awaitable<attempt_outcome> attempt_runner::run_fresh(
    connection_lease& lease, const forward_request& request)
{
    worker_connection& connection = lease.get_connection();
    core::error reason;
    const bool is_connected
        = co_await connection.connect(connect_deadline(request), reason);
    const auto state = co_await asio::this_coro::cancellation_state;
    if (!is_connected || is_cancelled(state))
    {
        const auto outcome = attempt_outcome::make(
            exchange_result::failed(attempt_result::not_sent, reason));
        co_return is_cancelled(state) ? outcome.with_evidence(std::nullopt)
                                      : outcome;
    }
    auto outcome = attempt_outcome::make(co_await connection.exchange(request));
    // A whole response that was discarded shows that the worker lives.
    co_return outcome.with_crash(
        outcome.get_last().get_result() == attempt_result::broken_after_send
        && !connection.has_whole_response());
}

asio::awaitable<attempt_outcome> attempt_runner::repeat(connection_lease& lease,
    const forward_request& request, exchange_result first)
{
    const auto unproved
        = attempt_outcome::make(first).with_evidence(std::nullopt);
    lease.replace();
    const bool is_paid
        = certainty_of(first.get_result()) == run_certainty::not_run
        || (request.is_idempotent()
            && this->state.try_acquire_resend(
                request, core::runtime_clock::now()));
    if (is_paid)
    {
        const auto second = co_await this->run_fresh(lease, request);
        co_return combine(first, second);
    }
    // A connection alone shows whether the worker is still there.
    core::error reason;
    const bool is_there = co_await lease.get_connection().connect(
        connect_deadline(request), reason);
    const auto state = co_await asio::this_coro::cancellation_state;
    co_return unproved.with_crash(!is_there && !is_cancelled(state));
}

asio::awaitable<void> attempt_runner::run_first(race& both)
{
    both.first_result
        = co_await both.first.get_connection().exchange(both.request);
    const bool is_other_running = both.second && !both.second_outcome;
    const auto state = co_await asio::this_coro::cancellation_state;
    if (!is_answer(*both.first_result) && is_other_running
        && !is_cancelled(state))
    {
        // The end of the other exchange ends the race and this wait.
        co_await core::wait_until(core::time_point::max());
    }
}

bool attempt_runner::start_second(race& both)
{
    const auto& request = both.request;
    const int allowance
        = this->state.limits_of(request.get_service())->get_connections();
    auto lease = this->pool.acquire_fresh(both.who, allowance);
    if (!lease
        || !this->state.try_acquire_resend(request, core::runtime_clock::now()))
    {
        return false;
    }
    both.second.emplace(std::move(*lease));
    return true;
}

asio::awaitable<void> attempt_runner::run_second(race& both)
{
    co_await wait_for_silence(
        both.first.get_connection(), both.request.get_deadline());
    auto state = co_await asio::this_coro::cancellation_state;
    const bool may_start = !both.first_result && !is_cancelled(state);
    if (may_start && this->start_second(both))
    {
        both.second_outcome
            = co_await this->run_fresh(*both.second, both.request);
        if (both.first_result || is_answer(both.second_outcome->get_last()))
        {
            co_return;
        }
    }
    state = co_await asio::this_coro::cancellation_state;
    if (!is_cancelled(state))
    {
        // The end of the first exchange ends the race and this wait.
        co_await core::wait_until(core::time_point::max());
    }
}

attempt_outcome attempt_runner::conclude(race& both)
{
    const exchange_result& first = both.first_result.value();
    if (is_answer(first))
    {
        both.second->get_connection().close();
        return attempt_outcome::make(first);
    }
    worker_connection& connection = both.first.get_connection();
    const auto& second = both.second_outcome.value();
    const bool has_caller = is_answer(second.get_last())
        || first.get_result() != attempt_result::cancelled;
    const bool is_dead = has_caller && !connection.has_response_bytes();
    if (is_dead)
    {
        // Connections of one age tend to fail together.
        this->pool.drop_idle(both.who.get_id());
    }
    if (is_answer(second.get_last()))
    {
        connection.close();
        this->faulty_connections += is_dead ? 1 : 0;
    }
    return combine(first, second);
}

asio::awaitable<attempt_outcome> attempt_runner::run_reused(
    const worker& who, connection_lease& lease, const forward_request& request)
{
    using namespace asio::experimental::awaitable_operators;
    race both{ who, request, lease, {}, {}, {} };
    if (request.is_idempotent())
    {
        co_await (this->run_first(both) || this->run_second(both));
    }
    else
    {
        co_await this->run_first(both);
    }
    if (both.second)
    {
        co_return this->conclude(both);
    }
    const exchange_result& first = both.first_result.value();
    const auto result = first.get_result();
    const bool is_unproved = !lease.get_connection().has_response_bytes();
    const bool is_silent = is_unproved && request.is_idempotent()
        && result == attempt_result::timed_out;
    const bool is_closed = result == attempt_result::not_sent
        || (is_unproved && result == attempt_result::broken_after_send);
    const auto state = co_await asio::this_coro::cancellation_state;
    if ((!is_closed && !is_silent) || is_cancelled(state))
    {
        co_return attempt_outcome::make(first);
    }
    // Connections of one age tend to fail together.
    this->pool.drop_idle(who.get_id());
    if (is_silent)
    {
        co_return attempt_outcome::make(first).with_evidence(std::nullopt);
    }
    co_return co_await this->repeat(lease, request, first);
}

asio::awaitable<attempt_outcome> attempt_runner::run(
    const worker& who, const forward_request& request)
{
    const int allowance
        = this->state.limits_of(request.get_service())->get_connections();
    auto lease = this->pool.acquire(who, allowance, core::runtime_clock::now());
    if (!lease)
    {
        co_return attempt_outcome::make(
            exchange_result::failed(attempt_result::not_sent,
                core::error::make("connect to worker", who.get_address().str(),
                    "all connections are in use")))
            .with_evidence(std::nullopt);
    }
    if (lease->is_reused())
    {
        co_return co_await this->run_reused(who, *lease, request);
    }
    co_return co_await this->run_fresh(*lease, request);
}

} // namespace pollenward::upstream
