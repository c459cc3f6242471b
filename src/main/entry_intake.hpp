#pragma once

#include "core/error.hpp"
#include "core/runtime_clock.hpp"
#include "main/configuration_in_force.hpp"
#include "operators/configuration.hpp"
#include "operators/event.hpp"
#include "platform/listing.hpp"
#include "upstream/listed_worker.hpp"
#include "upstream/worker_board.hpp"
#include "upstream/worker_register.hpp"

#include <mutex>
#include <string>

namespace pollenward::main {

/// Takes the configurations that the store lists into force.
class configuration_intake {
public:
    explicit configuration_intake(configuration_in_force& configuration)
        : configuration(configuration)
    {
    }

    void on_listing(const platform::listing<operators::configuration>& received)
    {
        for (const auto& each : received.get_objects())
        {
            if (!each.get_value())
            {
                continue;
            }
            const auto number = each.get_value()->get_number();
            if (this->configuration.store(*each.get_value()))
            {
                operators::write(
                    operators::event::make("configuration.in_force")
                        .with("number", number.get())
                        .with("routes", each.get_value()->get_routes().size())
                        .with("revision", received.get_revision().get()));
            }
        }
    }

    void on_store_lost(const core::error& cause)
    {
        operators::write(operators::event::make("store.lost")
                             .with("kind", "configuration")
                             .with("cause", cause));
    }

    void on_store_regained()
    {
        operators::write(operators::event::make("store.regained")
                             .with("kind", "configuration"));
    }

private:
    configuration_in_force& configuration;
};

/// Keeps the board's workers up to date with the store's list.
class worker_intake {
public:
    explicit worker_intake(upstream::worker_board& board)
        : board(board)
    {
    }

    void on_listing(const platform::listing<upstream::listed_worker>& received);
    void on_store_lost(const core::error& cause);
    void on_store_regained();

    /// Drops workers that did not come back after an outage of the store.
    void expire();
    /// When expire() is due; in the past if nothing is waited for.
    core::time_point get_expiry();

private:
    void put(const std::string& name, const upstream::listed_worker& entry);

    std::mutex mutex;
    upstream::worker_register known;
    upstream::worker_board& board;
};

} // namespace pollenward::main
