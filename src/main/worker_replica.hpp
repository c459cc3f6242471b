#pragma once

#include "core/error.hpp"
#include "core/runtime_clock.hpp"
#include "fleet/store_state.hpp"
#include "main/store_figures.hpp"
#include "main/store_freshness.hpp"
#include "main/store_reader_role.hpp"
#include "platform/listing.hpp"
#include "upstream/listed_worker.hpp"
#include "upstream/placement_state.hpp"
#include "upstream/worker_registry.hpp"
#include "upstream/worker_revision_index.hpp"

#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace pollenward::main {

/// Applies the store's worker list, received from the store or from another
/// daemon, to the placement state.
class worker_replica {
public:
    /// `lease_time` is the time after which the store removes the entry of a
    /// silent worker.
    worker_replica(upstream::placement_state& placement,
        const store_reader_role& role,
        core::milliseconds lease_time
        = upstream::worker_registry::default_lease_time)
        : role(role)
        , listed(lease_time)
        , placement(placement)
    {
    }

    /// For platform::listing_watch. A listing that is older than the state
    /// which another daemon sent meanwhile is ignored.
    void on_listing(const platform::listing<upstream::listed_worker>& received);
    void on_unchanged(core::store_revision revision);
    void on_store_lost(const core::error& cause);
    void on_store_regained();
    void on_era_unstated();
    void on_store_restored(core::store_revision from, core::store_revision to,
        core::duration reread_time);
    bool needs_store(core::time_point now) const;
    core::store_revision known_revision() const;

    /// Removes workers that did not register again after a store outage, and
    /// uses those that a restored store goes on listing.
    void expire();
    /// When expire() is due; in the past if no entry is about to expire.
    core::time_point get_expiry() const;

    /// The age is that of a store that was never read while entries are kept
    /// that expired in an outage, so that no daemon relies on it.
    fleet::store_position position(core::time_point now) const;
    /// The position from this daemon's own store reads only.
    fleet::store_position own_position(core::time_point now) const;
    store_figures figures(core::time_point now) const;
    /// The revision of the last applied change of a worker.
    core::store_revision last_changed_revision() const;
    /// False while workers that the store does not list are kept, or some that
    /// it lists are withheld.
    bool matches_store() const;
    /// The changes that a daemon with a copy at `peer_revision` lacks, as the
    /// store lists the workers; nothing if it lacks none, or while entries are
    /// kept that expired in an outage. `stated` is the revision that is sent
    /// with them: nothing if it is of an earlier era than the list.
    std::optional<fleet::worker_changes> changes_since(
        core::store_revision peer_revision, core::store_revision stated) const;
    /// Applies the store state of another daemon.
    void merge(const fleet::store_state& received, core::time_point now);

private:
    /// `source` is "store" or "daemon", for the log.
    void apply(const std::vector<fleet::worker_change>& changes,
        bool is_complete, core::store_revision revision, core::time_point now,
        const char* source);
    /// Applies the first complete list after a restore of the store.
    void restore(const std::vector<fleet::worker_change>& changes,
        core::store_revision revision, core::time_point now,
        const char* source);
    void put(const std::string& name, const upstream::listed_worker& entry,
        core::store_revision revision, const char* source);
    fleet::store_position to_position(
        const fleet::store_position& current) const;
    std::vector<fleet::worker_change> describe_all(
        const std::vector<std::string>& names) const;

    const store_reader_role& role;
    mutable std::mutex mutex;
    store_freshness freshness;
    store_figures counted;
    core::store_revision changed_revision;
    upstream::worker_registry listed;
    upstream::worker_revision_index history;
    upstream::placement_state& placement;
};

} // namespace pollenward::main
