#pragma once

#include "core/error.hpp"
#include "core/runtime_clock.hpp"
#include "fleet/store_state.hpp"
#include "main/configuration_in_force.hpp"
#include "main/store_contact.hpp"
#include "operators/configuration.hpp"
#include "platform/listing.hpp"
#include "upstream/listed_worker.hpp"
#include "upstream/placement_state.hpp"
#include "upstream/worker_registry.hpp"
#include "upstream/worker_revision_index.hpp"

#include <atomic>
#include <mutex>
#include <string>
#include <vector>

namespace pollenward::main {

/// Whether this daemon is one of those of its zone that ask the store.
class store_duty {
public:
    /// True until others are known that ask.
    bool is_mine() const { return this->mine.load(); }
    void assign(bool is_mine) { this->mine = is_mine; }

private:
    std::atomic<bool> mine{ true };
};

/// Takes configurations into force, from the store or from another daemon.
class configuration_intake {
public:
    configuration_intake(
        configuration_in_force& configuration, const store_duty& duty)
        : configuration(configuration)
        , duty(duty)
    {
    }

    /// For platform::listing_watch.
    void on_listing(
        const platform::listing<operators::configuration>& received);
    void on_unchanged(core::store_revision revision);
    void on_store_lost(const core::error& cause);
    void on_store_regained();
    bool needs_store(core::time_point now) const;
    core::store_revision known_revision() const;

    core::version_number number() const;
    fleet::store_position mark(core::time_point now) const;
    /// By what the store told this daemon itself.
    fleet::store_position own_mark(core::time_point now) const;
    /// The configuration in force as a document, if its number is above
    /// `known`; else empty.
    std::string document_above(core::version_number known) const;
    /// Takes what another daemon knows.
    void take(const fleet::store_state& told, core::time_point now);

private:
    void take_into_force(const operators::configuration& next,
        core::store_revision revision, const char* source);

    configuration_in_force& configuration;
    const store_duty& duty;
    mutable std::mutex mutex;
    store_contact contact;
};

/// Keeps the board's workers up to date with the store's list, as the store or
/// another daemon tells it.
class worker_intake {
public:
    worker_intake(upstream::placement_state& board, const store_duty& duty)
        : duty(duty)
        , board(board)
    {
    }

    /// For platform::listing_watch.
    void on_listing(const platform::listing<upstream::listed_worker>& received);
    void on_unchanged(core::store_revision revision);
    void on_store_lost(const core::error& cause);
    void on_store_regained();
    bool needs_store(core::time_point now) const;
    core::store_revision known_revision() const;

    /// Drops workers that did not come back after an outage of the store.
    void expire();
    /// When expire() is due; in the past if nothing is waited for.
    core::time_point get_expiry() const;

    /// Says that nothing is known while entries are kept that the store does
    /// not list.
    fleet::store_position mark(core::time_point now) const;
    /// By what the store told this daemon itself.
    fleet::store_position own_mark(core::time_point now) const;
    /// The revision at which a worker was last seen to change.
    core::store_revision last_change() const;
    /// What a daemon that knows the store up to `known` lacks; nothing if it
    /// lacks nothing.
    std::optional<fleet::worker_changes> changes_since(
        core::store_revision known) const;
    /// Takes what another daemon knows.
    void take(const fleet::store_state& told, core::time_point now);

private:
    void apply(const std::vector<fleet::worker_change>& changes,
        bool is_complete, core::store_revision revision, core::time_point now);
    void put(const std::string& name, const upstream::listed_worker& entry);
    std::vector<fleet::worker_change> describe_all(
        const std::vector<std::string>& names) const;

    const store_duty& duty;
    mutable std::mutex mutex;
    store_contact contact;
    core::store_revision changed_at{ 0 };
    upstream::worker_registry known;
    upstream::worker_revision_index history;
    upstream::placement_state& board;
};

} // namespace pollenward::main
