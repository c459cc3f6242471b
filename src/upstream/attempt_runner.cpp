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

    /// Combines the results of two exchanges with the same worker, of which the
    /// second was made because of the first.
    attempt_outcome combine(
        const exchange_result& first, const attempt_outcome& second)
    {
        const auto result = second.get_last().get_result();
        // A worker that broke the first exchange and now accepts no connection
        // has crashed.
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

/// The exchange of a request on a pooled connection, and the hedge of an
/// idempotent request on a fresh one. All members are used on one strand.
struct attempt_runner::hedged_exchange {
    const worker& target;
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
    // A whole response that was discarded shows that the worker did not crash.
    co_return outcome.with_crash(
        outcome.get_last().get_result() == attempt_result::broken_after_send
        && !connection.has_whole_response());
}

asio::awaitable<attempt_outcome> attempt_runner::repeat(connection_lease& lease,
    const forward_request& request, exchange_result first)
{
    const auto first_outcome
        = attempt_outcome::make(first).with_evidence(std::nullopt);
    lease.replace();
    const bool may_repeat
        = certainty_of(first.get_result()) == run_certainty::not_run
        || (request.is_idempotent()
            && this->state.try_acquire_resend(
                request, core::runtime_clock::now()));
    if (may_repeat)
    {
        const auto second = co_await this->run_fresh(lease, request);
        co_return combine(first, second);
    }
    // Without a retry, a new connection shows whether the worker has crashed.
    core::error reason;
    const bool is_reachable = co_await lease.get_connection().connect(
        connect_deadline(request), reason);
    const auto state = co_await asio::this_coro::cancellation_state;
    co_return first_outcome.with_crash(!is_reachable && !is_cancelled(state));
}

asio::awaitable<void> attempt_runner::run_first(hedged_exchange& hedged)
{
    hedged.first_result
        = co_await hedged.first.get_connection().exchange(hedged.request);
    const bool is_second_running = hedged.second && !hedged.second_outcome;
    const auto state = co_await asio::this_coro::cancellation_state;
    if (!is_answer(*hedged.first_result) && is_second_running
        && !is_cancelled(state))
    {
        // The end of the other exchange cancels this wait.
        co_await core::wait_until(core::time_point::max());
    }
}

bool attempt_runner::start_second(hedged_exchange& hedged)
{
    const auto& request = hedged.request;
    const int max_connections
        = this->state.limits_of(request.get_service())->get_connections();
    auto lease = this->pool.acquire_fresh(hedged.target, max_connections);
    if (!lease
        || !this->state.try_acquire_resend(request, core::runtime_clock::now()))
    {
        return false;
    }
    hedged.second.emplace(std::move(*lease));
    return true;
}

asio::awaitable<void> attempt_runner::run_second(hedged_exchange& hedged)
{
    co_await wait_for_silence(
        hedged.first.get_connection(), hedged.request.get_deadline());
    auto state = co_await asio::this_coro::cancellation_state;
    const bool may_start = !hedged.first_result && !is_cancelled(state);
    if (may_start && this->start_second(hedged))
    {
        hedged.second_outcome
            = co_await this->run_fresh(*hedged.second, hedged.request);
        if (hedged.first_result || is_answer(hedged.second_outcome->get_last()))
        {
            co_return;
        }
    }
    state = co_await asio::this_coro::cancellation_state;
    if (!is_cancelled(state))
    {
        // The end of the first exchange cancels this wait.
        co_await core::wait_until(core::time_point::max());
    }
}

attempt_outcome attempt_runner::conclude(hedged_exchange& hedged)
{
    const exchange_result& first = hedged.first_result.value();
    if (is_answer(first))
    {
        hedged.second->get_connection().close();
        return attempt_outcome::make(first);
    }
    worker_connection& connection = hedged.first.get_connection();
    const auto& second = hedged.second_outcome.value();
    const bool has_caller = is_answer(second.get_last())
        || first.get_result() != attempt_result::cancelled;
    const bool is_dead = has_caller && !connection.has_response_bytes();
    if (is_dead)
    {
        // Connections of one age tend to fail together.
        this->pool.close_idle(hedged.target.get_id());
    }
    if (is_answer(second.get_last()))
    {
        connection.close();
        this->faulty_connections += is_dead ? 1 : 0;
    }
    return combine(first, second);
}

asio::awaitable<attempt_outcome> attempt_runner::run_reused(
    const worker& target, connection_lease& lease,
    const forward_request& request)
{
    using namespace asio::experimental::awaitable_operators;
    hedged_exchange hedged{ target, request, lease, {}, {}, {} };
    if (request.is_idempotent())
    {
        co_await (this->run_first(hedged) || this->run_second(hedged));
    }
    else
    {
        co_await this->run_first(hedged);
    }
    if (hedged.second)
    {
        co_return this->conclude(hedged);
    }
    const exchange_result& first = hedged.first_result.value();
    const auto result = first.get_result();
    const bool is_unanswered = !lease.get_connection().has_response_bytes();
    const bool is_silent = is_unanswered && request.is_idempotent()
        && result == attempt_result::timed_out;
    const bool is_closed = result == attempt_result::not_sent
        || (is_unanswered && result == attempt_result::broken_after_send);
    const auto state = co_await asio::this_coro::cancellation_state;
    if ((!is_closed && !is_silent) || is_cancelled(state))
    {
        co_return attempt_outcome::make(first);
    }
    // Connections of one age tend to fail together.
    this->pool.close_idle(target.get_id());
    if (is_silent)
    {
        co_return attempt_outcome::make(first).with_evidence(std::nullopt);
    }
    co_return co_await this->repeat(lease, request, first);
}

asio::awaitable<attempt_outcome> attempt_runner::run(
    const worker& target, const forward_request& request)
{
    const int max_connections
        = this->state.limits_of(request.get_service())->get_connections();
    auto lease = this->pool.acquire(
        target, max_connections, core::runtime_clock::now());
    if (!lease)
    {
        co_return attempt_outcome::make(
            exchange_result::failed(attempt_result::not_sent,
                core::error::make("connect to worker",
                    target.get_address().str(), "all connections are in use")))
            .with_evidence(std::nullopt);
    }
    if (lease->is_reused())
    {
        co_return co_await this->run_reused(target, *lease, request);
    }
    co_return co_await this->run_fresh(*lease, request);
}

} // namespace pollenward::upstream
