#pragma once

#include "fleet/message.hpp"
#include "fleet/store_state.hpp"
#include "main/configuration_replica.hpp"
#include "main/worker_replica.hpp"
#include "main/zone_synchronizer.hpp"
#include "operators/configuration_assembly.hpp"
#include "operators/configuration_part.hpp"

#include <boost/asio/awaitable.hpp>

#include <atomic>
#include <cstddef>

namespace pollenward::main {

/// Intervals of a store_state_synchronizer.
struct store_state_sync_times {
    /// Time between checks whether the aggregator lacks a change.
    core::milliseconds check_interval{ 100 };
    /// Time between exchanges with the aggregator. Including the replies of
    /// store and aggregator, a change reaches a whole zone in about a second.
    core::milliseconds exchange{ 500 };
};

/// Replicates the store's objects within the zone: two daemons of a zone read
/// the store, and each daemon exchanges missing changes with the aggregator of
/// its zone. A daemon without recent reports reads the store itself.
class store_state_synchronizer {
public:
    /// Number of daemons per zone that read the store, so that one can fail.
    static constexpr std::size_t reader_count = 2;

    store_state_synchronizer(zone_synchronizer& zone,
        configuration_replica& configuration, worker_replica& workers,
        store_reader_role& role, store_state_sync_times times = {})
        : zone(zone)
        , configuration(configuration)
        , workers(workers)
        , role(role)
        , times(times)
    {
    }

    /// Runs until stop().
    boost::asio::awaitable<void> run();
    void stop() { this->stopped = true; }

    /// Merges the state of a daemon of the zone and returns what it lacks.
    fleet::store_state answer(const fleet::store_state& received);
    /// Returns the changes of the configuration that a daemon requests.
    operators::configuration_part answer(
        const operators::configuration_request& received) const;
    /// Requests the changes of a newer configuration from the daemon that has
    /// it.
    boost::asio::awaitable<void> accept(fleet::configuration_offer offer);

private:
    /// Requests the changes that the sender has, one part after the other, so
    /// that a part fits the time limit of an exchange on a slow link. False if
    /// the sender sent no whole version or another transfer is running.
    boost::asio::awaitable<bool> fetch_configuration(fleet::member sender);
    void install(const operators::configuration_assembly& assembly,
        const fleet::member& sender);
    boost::asio::awaitable<void> offer_configuration(fleet::member aggregator);
    /// False if the aggregator did not reply.
    boost::asio::awaitable<bool> exchange();
    /// From this daemon's own store reads only. This is sent to the aggregator,
    /// which must not get back the reports of others as new ones.
    fleet::store_state own_state(core::time_point now) const;
    fleet::store_state zone_state(core::time_point now) const;
    bool is_ahead_of_aggregator() const;
    void merge(const fleet::store_state& received, core::time_point now);

    zone_synchronizer& zone;
    configuration_replica& configuration;
    worker_replica& workers;
    store_reader_role& role;
    store_state_sync_times times;
    /// The aggregator's state at the last exchange. Used by run() only.
    core::daemon_id aggregator;
    fleet::store_state aggregator_state;
    std::atomic<bool> is_fetching{ false };
    std::atomic<bool> stopped{ false };
};

} // namespace pollenward::main
