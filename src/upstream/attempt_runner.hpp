#pragma once

#include "upstream/connection_pool.hpp"
#include "upstream/dispatch_state.hpp"
#include "upstream/exchange_result.hpp"
#include "upstream/forward_request.hpp"

#include <boost/asio/awaitable.hpp>

#include <atomic>
#include <cstdint>
#include <optional>
#include <utility>

namespace pollenward::upstream {

/// How an attempt on one worker, which may consist of two exchanges, ended.
class attempt_outcome {
public:
    static attempt_outcome make(exchange_result last)
    {
        attempt_outcome made;
        made.certainty = certainty_of(last.get_result());
        made.evidence = last.get_result();
        made.last = std::move(last);
        return made;
    }

    const exchange_result& get_last() const { return this->last; }
    /// Of both exchanges together.
    run_certainty get_certainty() const { return this->certainty; }
    /// Evidence about the worker; nothing if the connection or this daemon was
    /// at fault.
    std::optional<attempt_result> get_evidence() const
    {
        return this->evidence;
    }
    /// Whether the worker may have crashed while it ran the request.
    bool is_crash() const { return this->crash; }

    attempt_outcome with_certainty(run_certainty changed) const
    {
        attempt_outcome next = *this;
        next.certainty = changed;
        return next;
    }

    attempt_outcome with_evidence(std::optional<attempt_result> changed) const
    {
        attempt_outcome next = *this;
        next.evidence = changed;
        return next;
    }

    attempt_outcome with_crash(bool changed) const
    {
        attempt_outcome next = *this;
        next.crash = changed;
        return next;
    }

    auto operator<=>(const attempt_outcome&) const = default;

private:
    exchange_result last;
    run_certainty certainty = run_certainty::not_run;
    std::optional<attempt_result> evidence;
    bool crash = false;
};

/// Runs requests on a given worker over pooled connections.
class attempt_runner {
public:
    attempt_runner(connection_pool& pool, dispatch_state& state)
        : pool(pool)
        , state(state)
    {
    }

    /// Runs the request. If an idle connection turns out to be closed, the
    /// request is repeated on a fresh one to the same worker where that cannot
    /// run a non-idempotent request twice. If it is silent past the progress
    /// limit, an idempotent request is also sent on a fresh one, if the retry
    /// budget allows it, and the first answer is used.
    boost::asio::awaitable<attempt_outcome> run(
        const worker& target, const forward_request& request);

    /// Connections that went silent while the worker answered on another.
    std::uint64_t count_faulty_connections() const
    {
        return this->faulty_connections.load();
    }

private:
    struct hedged_exchange;

    boost::asio::awaitable<attempt_outcome> run_fresh(
        connection_lease& lease, const forward_request& request);
    boost::asio::awaitable<attempt_outcome> run_reused(const worker& target,
        connection_lease& lease, const forward_request& request);
    boost::asio::awaitable<void> run_first(hedged_exchange& hedged);
    boost::asio::awaitable<void> run_second(hedged_exchange& hedged);
    bool start_second(hedged_exchange& hedged);
    attempt_outcome conclude(hedged_exchange& hedged);
    boost::asio::awaitable<attempt_outcome> repeat(connection_lease& lease,
        const forward_request& request, exchange_result first);

    connection_pool& pool;
    dispatch_state& state;
    std::atomic<std::uint64_t> faulty_connections{ 0 };
};

} // namespace pollenward::upstream
