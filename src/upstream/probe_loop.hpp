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

/// The workers that this daemon may use, in a mostly stable order.
template <class Type>
concept probe_targets = requires(const Type& targets) {
    {
        targets.workers()
    } -> std::same_as<std::vector<worker>>;
};

/// Polls the load of a worker: requests per slot, plus 1 if its health check
/// fails. Nothing if it sent no readable load report.
boost::asio::awaitable<std::optional<double>> probe_worker(
    const worker& target);

/// Polls the health and load of one worker after the other, and closes
/// connections that were idle for too long. The reports only break ties in the
/// choice of a worker: they lag and can be wrong, so they neither eject nor
/// reinstate a worker.
template <probe_targets Targets>
class probe_loop {
public:
    /// One worker at a time, at most four a second for any number of workers,
    /// so that the control overhead of a daemon does not grow with the fleet.
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
            const worker& target = workers[turn % workers.size()];
            if (const auto load = co_await probe_worker(target))
            {
                this->state.record_load(target.get_id(), *load);
            }
        }
    }

private:
    const Targets& targets;
    dispatch_state& state;
    connection_pool& pool;
};

} // namespace pollenward::upstream
