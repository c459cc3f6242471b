#include "upstream/attempt_runner.hpp"

#include "core/runtime_timer.hpp"

#include <boost/asio/this_coro.hpp>

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

} // namespace

asio::awaitable<attempt_outcome> attempt_runner::run_fresh(
    connection_lease& lease, const forward_request& request)
{
    worker_connection& connection = lease.get_connection();
    core::error reason;
    if (!co_await connection.connect(connect_deadline(request), reason))
    {
        const auto outcome = attempt_outcome::make(
            exchange_result::failed(attempt_result::not_sent, reason));
        const auto state = co_await asio::this_coro::cancellation_state;
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
    const auto certainty = certainty_of(first.get_result());
    const auto unproved
        = attempt_outcome::make(first).with_evidence(std::nullopt);
    lease.replace();
    const bool is_paid = certainty == run_certainty::not_run
        || (request.is_idempotent()
            && this->state.take_budget(request, core::runtime_clock::now()));
    const bool has_broken
        = first.get_result() == attempt_result::broken_after_send;
    if (!is_paid && has_broken)
    {
        // A connection alone shows whether the worker is still there.
        core::error reason;
        const bool is_there = co_await lease.get_connection().connect(
            connect_deadline(request), reason);
        const auto state = co_await asio::this_coro::cancellation_state;
        co_return unproved.with_crash(!is_there && !is_cancelled(state));
    }
    if (!is_paid)
    {
        co_return unproved;
    }
    const auto second = co_await this->run_fresh(lease, request);
    const auto result = second.get_last().get_result();
    if (first.get_result() == attempt_result::silent
        && result == attempt_result::answered)
    {
        ++this->faulty_connections;
    }
    // A worker that broke the first exchange and is gone now has crashed.
    const bool is_gone = has_broken && result == attempt_result::not_sent
        && second.get_evidence();
    const bool is_uncertain = certainty == run_certainty::unknown
        && result != attempt_result::answered;
    co_return second.with_crash(second.is_crash() || is_gone)
        .with_certainty(
            is_uncertain ? run_certainty::unknown : second.get_certainty());
}

asio::awaitable<attempt_outcome> attempt_runner::run(
    const worker& who, const forward_request& request)
{
    const int allowance
        = this->state.terms_of(request.get_service())->get_connections();
    auto lease = this->pool.acquire(who, allowance, core::runtime_clock::now());
    if (!lease)
    {
        co_return attempt_outcome::make(
            exchange_result::failed(attempt_result::not_sent,
                core::error::make("connect to worker", who.get_address().str(),
                    "all connections are in use")))
            .with_evidence(std::nullopt);
    }
    if (!lease->is_reused())
    {
        co_return co_await this->run_fresh(*lease, request);
    }
    worker_connection& connection = lease->get_connection();
    auto first = co_await connection.exchange(request);
    const auto result = first.get_result();
    const bool is_stale = result == attempt_result::not_sent
        || result == attempt_result::silent
        || (result == attempt_result::broken_after_send
            && !connection.has_response_bytes());
    const auto state = co_await asio::this_coro::cancellation_state;
    if (!is_stale || is_cancelled(state))
    {
        co_return attempt_outcome::make(std::move(first));
    }
    // Connections of one age tend to fail together.
    this->pool.drop_idle(who.get_id());
    co_return co_await this->repeat(*lease, request, std::move(first));
}

} // namespace pollenward::upstream
