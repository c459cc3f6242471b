#pragma once

#include "core/error.hpp"
#include "core/runtime_clock.hpp"
#include "fleet/store_state.hpp"
#include "main/configuration_in_force.hpp"
#include "main/store_figures.hpp"
#include "main/store_freshness.hpp"
#include "main/store_reader_role.hpp"
#include "operators/configuration.hpp"
#include "operators/configuration_change_index.hpp"
#include "operators/configuration_part.hpp"
#include "platform/listing.hpp"

#include <mutex>
#include <optional>

namespace pollenward::main {

/// Puts configurations from the store or from another daemon into force.
class configuration_replica {
public:
    configuration_replica(
        configuration_in_force& configuration, const store_reader_role& role)
        : configuration(configuration)
        , role(role)
    {
    }

    /// For platform::listing_watch.
    void on_listing(
        const platform::listing<operators::configuration>& received);
    void on_unchanged(core::store_revision revision);
    void on_store_lost(const core::error& cause);
    void on_store_regained();
    void on_era_unstated();
    void on_store_restored(core::store_revision from, core::store_revision to,
        core::duration reread_time);
    bool needs_store(core::time_point now) const;
    core::store_revision known_revision() const;

    core::version_number number() const;
    fleet::store_position position(core::time_point now) const;
    /// The position from this daemon's own store reads only.
    fleet::store_position own_position(core::time_point now) const;
    std::optional<operators::configuration> in_force() const;
    store_figures figures(core::time_point now) const;
    /// The changes of the configuration in force that a daemon requests.
    operators::configuration_part part_after(
        const operators::configuration_request& request) const;
    /// Puts a version that another daemon sent in parts into force.
    void on_transfer(const operators::configuration& received);
    /// Records the position of another daemon's copy, unless its configuration
    /// is newer than the one in force here.
    void merge(const fleet::store_state& received, core::time_point now);

private:
    void install(const operators::configuration& next, const char* source);

    configuration_in_force& configuration;
    const store_reader_role& role;
    mutable std::mutex mutex;
    store_freshness freshness;
    store_figures counted;
    operators::configuration_change_index changes;
};

} // namespace pollenward::main
