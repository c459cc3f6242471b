#pragma once

#include "core/runtime_timer.hpp"
#include "upstream/connection_pool.hpp"
#include "upstream/dispatch_state.hpp"
#include "upstream/worker.hpp"

#include <boost/asio/awaitable.hpp>

#include <concepts>
#include <cstddef>
#include <optional>
#include <vector>

namespace pollenward::upstream {

/// The workers that this daemon may use, in an order that changes little.
template <class Type>
concept probe_targets = requires(const Type& targets) {
    {
        targets.workers()
    } -> std::same_as<std::vector<worker>>;
};

/// The load that a worker reports: requests per slot, plus 1 if it calls itself
/// unhealthy. Nothing if it did not answer or the report makes no sense.
boost::asio::awaitable<std::optional<double>> probe_worker(const worker& who);

/// Asks one worker after the other for its health and load, and closes
/// connections that were idle for too long. The reports only break ties in the
/// choice of a worker: they lag and mislead, so they neither eject a worker nor
/// make it return.
template <probe_targets Targets>
class probe_loop {
public:
    /// One worker at a time, at most four a second, whatever the number of
    /// workers: the control overhead of a daemon must not grow with the fleet.
    static constexpr core::milliseconds interval{ 250 };

    probe_loop(
        const Targets& targets, dispatch_state& state, connection_pool& pool)
        : targets(targets)
        , state(state)
        , pool(pool)
    {
    }

    /// Runs until cancelled; must run on a strand.
    boost::asio::awaitable<void> run()
    {
        for (std::size_t turn = 0;; ++turn)
        {
            co_await core::wait_until(core::runtime_clock::now() + interval);
            this->pool.close_expired(core::runtime_clock::now());
            const auto workers = this->targets.workers();
            if (workers.empty())
            {
                continue;
            }
            const worker& who = workers[turn % workers.size()];
            if (const auto load = co_await probe_worker(who))
            {
                this->state.record_load(who.get_id(), *load);
            }
        }
    }

private:
    const Targets& targets;
    dispatch_state& state;
    connection_pool& pool;
};

} // namespace pollenward::upstream
