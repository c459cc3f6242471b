#pragma once

#include "core/sharded_snapshot.hpp"
#include "main/configuration_in_force.hpp"
#include "main/dispatch_link.hpp"
#include "main/fleet_port.hpp"
#include "upstream/worker_directory.hpp"
#include "upstream/worker_subset.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <atomic>
#include <map>
#include <vector>

namespace pollenward::main {

/// Tells the dispatcher for each service which workers this daemon uses and
/// what it may use of them without a word from a home.
class terms_loop {
public:
    terms_loop(boost::asio::io_context& context,
        const configuration_in_force& configuration,
        const upstream::worker_directory& workers,
        worker_dispatcher& dispatcher, const fleet_port& fleet)
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
    /// What the terms of a service were computed from.
    struct inputs {
        std::vector<upstream::subset_daemon> daemons;
        std::vector<upstream::worker> workers;
        operators::service_settings settings;

        bool operator==(const inputs&) const = default;
    };

    boost::asio::awaitable<void> run();
    void refresh_all();
    /// Drops what the dispatcher keeps of workers that are gone.
    void forget_unlisted();
    /// True if the terms changed.
    bool refresh(const operators::service_settings& service,
        const std::vector<upstream::subset_daemon>& daemons);

    boost::asio::io_context& context;
    const configuration_in_force& configuration;
    const upstream::worker_directory& workers;
    worker_dispatcher& dispatcher;
    const fleet_port& fleet;
    std::map<core::service_id, inputs> known;
    std::map<core::service_id, std::vector<upstream::worker>> used_by_service;
    core::sharded_snapshot<std::vector<upstream::worker>> used;
    std::atomic<bool> stopped{ false };
};

} // namespace pollenward::main
