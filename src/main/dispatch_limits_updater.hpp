#pragma once

#include "core/sharded_snapshot.hpp"
#include "main/configuration_in_force.hpp"
#include "main/fleet_network.hpp"
#include "main/guarded_dispatcher.hpp"
#include "upstream/worker_directory.hpp"
#include "upstream/worker_subset.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <atomic>
#include <map>
#include <vector>

namespace pollenward::main {

/// Sets the dispatcher's limits for each service: which workers this daemon
/// uses, and how many of their slots without a share from an aggregator.
class dispatch_limits_updater {
public:
    dispatch_limits_updater(boost::asio::io_context& context,
        const configuration_in_force& configuration,
        const upstream::worker_directory& workers,
        worker_dispatcher& dispatcher, const fleet_network& fleet)
        : context(context)
        , configuration(configuration)
        , workers(workers)
        , dispatcher(dispatcher)
        , fleet(fleet)
        , used(std::vector<upstream::worker>())
    {
    }

    void start();
    void stop() { this->stopped = true; }

    /// The workers that this daemon uses, for upstream::probe_loop.
    std::vector<upstream::worker> used_workers() const
    {
        return this->used.read(
            [](const std::vector<upstream::worker>& all) { return all; });
    }

private:
    /// The inputs from which a service's limits were computed.
    struct inputs {
        std::vector<upstream::subset_daemon> daemons;
        std::vector<upstream::worker> workers;
        operators::service_settings settings;

        bool operator==(const inputs&) const = default;
    };

    boost::asio::awaitable<void> run();
    void refresh_services();
    /// Erases the dispatcher's state of workers that are no longer listed.
    void erase_unlisted_workers();
    /// True if the inputs have changed and new limits were stored.
    bool refresh(const operators::service_settings& service,
        const std::vector<upstream::subset_daemon>& daemons);

    boost::asio::io_context& context;
    const configuration_in_force& configuration;
    const upstream::worker_directory& workers;
    worker_dispatcher& dispatcher;
    const fleet_network& fleet;
    std::map<core::service_id, inputs> last_inputs;
    std::map<core::service_id, std::vector<upstream::worker>> used_by_service;
    core::sharded_snapshot<std::vector<upstream::worker>> used;
    std::atomic<bool> stopped{ false };
};

} // namespace pollenward::main
