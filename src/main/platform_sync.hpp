#pragma once

#include "main/document_publisher.hpp"
#include "main/fleet_network.hpp"
#include "platform/object_client.hpp"
#include "platform/platform_watch.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <atomic>
#include <cstdint>

namespace pollenward::main {

/// Watches the platform while this daemon is one of the watchers of its zone.
class platform_sync {
public:
    platform_sync(boost::asio::io_context& context,
        platform::object_client& store, document_publisher& publisher,
        const fleet_network& fleet);

    void start();
    void stop();

    bool is_watching() const { return this->watch.is_watching(); }
    /// Number of times that the store's revision decreased.
    std::uint64_t count_restores() const
    {
        return this->watch.count_restores();
    }
    std::uint64_t count_failures() const
    {
        return this->watch.count_failures();
    }

private:
    boost::asio::awaitable<void> choose_role();

    boost::asio::io_context& context;
    const fleet_network& fleet;
    platform::platform_watch<platform::object_client, document_publisher> watch;
    std::atomic<bool> stopped{ false };
};

} // namespace pollenward::main
