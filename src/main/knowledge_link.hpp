#pragma once

#include "fleet/message.hpp"
#include "fleet/store_state.hpp"
#include "main/entry_intake.hpp"
#include "main/zone_link.hpp"

#include <boost/asio/awaitable.hpp>

#include <atomic>
#include <cstddef>

namespace pollenward::main {

/// Times of a knowledge_link.
struct knowledge_times {
    /// Time between looks at whether the home lacks something.
    core::milliseconds tick{ 100 };
    /// Time between exchanges with the home. With the store's answer and the
    /// home's, a change reaches all of a zone in about a second.
    core::milliseconds exchange{ 500 };
};

/// Spreads what the store says through the zone: two daemons of a zone ask the
/// store, and each daemon exchanges with the home of its zone what one of them
/// lacks. A daemon that hears nothing for a while asks the store itself.
class knowledge_link {
public:
    /// Daemons of a zone that ask the store, so that one may fail.
    static constexpr std::size_t askers = 2;

    knowledge_link(zone_link& zone, configuration_intake& configuration,
        worker_intake& workers, store_duty& duty, knowledge_times times = {})
        : zone(zone)
        , configuration(configuration)
        , workers(workers)
        , duty(duty)
        , times(times)
    {
    }

    /// Runs until stop().
    boost::asio::awaitable<void> run();
    void stop() { this->stopped = true; }

    /// Takes what a daemon of the zone knows and returns what it lacks.
    fleet::store_state answer(const fleet::store_state& told);

private:
    /// False if the home did not reply.
    boost::asio::awaitable<bool> exchange();
    /// By what the store told this daemon: sent to the home, where the word
    /// of others must not come back as a new one.
    fleet::store_state own_knowledge(core::time_point now) const;
    fleet::store_state knowledge_of_zone(core::time_point now) const;
    bool is_ahead_of_home() const;
    void take(const fleet::store_state& told, core::time_point now);

    zone_link& zone;
    configuration_intake& configuration;
    worker_intake& workers;
    store_duty& duty;
    knowledge_times times;
    /// What the home knew at the last exchange. Used by run() only.
    core::daemon_id home;
    fleet::store_state home_knows;
    std::atomic<bool> stopped{ false };
};

} // namespace pollenward::main
