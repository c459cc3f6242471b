#pragma once

#include "main/configuration_in_force.hpp"
#include "main/replicated_guard.hpp"
#include "main/worker_standings.hpp"
#include "operators/service_settings.hpp"
#include "upstream/dispatcher.hpp"

#include <boost/asio/awaitable.hpp>

namespace pollenward::main {

using worker_dispatcher = upstream::dispatcher<worker_standings,
    worker_standings, replicated_guard>;

/// Dispatches requests and reports those that a worker ran to the guard.
class guarded_dispatcher {
public:
    guarded_dispatcher(worker_dispatcher& dispatcher, replicated_guard& guard)
        : dispatcher(dispatcher)
        , guard(guard)
    {
    }

    boost::asio::awaitable<upstream::dispatch_result> dispatch(
        const upstream::forward_request& request)
    {
        auto result = co_await this->dispatcher.dispatch(request);
        if (result.is_success())
        {
            this->guard.on_success(request);
        }
        co_return result;
    }

private:
    worker_dispatcher& dispatcher;
    replicated_guard& guard;
};

/// Concurrency limits of services at this daemon; a caller::limit_source.
class service_limits {
public:
    service_limits(const worker_dispatcher& dispatcher,
        const configuration_in_force& configuration)
        : dispatcher(dispatcher)
        , configuration(configuration)
    {
    }

    double limit(const core::service_id& service) const
    {
        return static_cast<double>(this->dispatcher.limit(service).get());
    }

    operators::rank_shares minimum_shares(const core::service_id& service) const
    {
        operators::rank_shares shares{};
        if (const auto found = this->configuration.find_service(service))
        {
            for (const core::rank rank : core::all_ranks)
            {
                shares[core::index_of(rank)] = found->get_minimum_share(rank);
            }
        }
        return shares;
    }

private:
    const worker_dispatcher& dispatcher;
    const configuration_in_force& configuration;
};

} // namespace pollenward::main
