#pragma once

#include "fleet/document.hpp"
#include "main/fleet_port.hpp"
#include "platform/object_client.hpp"
#include "platform/platform_watch.hpp"
#include "platform/stored_object.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <atomic>
#include <cstdint>
#include <optional>
#include <vector>

namespace pollenward::main {

/// Brings objects of the platform into the fleet while this daemon is one of
/// the watchers of its zone, and brings a store that was restored from an older
/// state up to the newest accepted versions.
class platform_sync {
public:
    platform_sync(boost::asio::io_context& context,
        platform::object_client& store, fleet_port& fleet);

    void start();
    void stop();

    /// Takes changed objects; a platform::change_handler.
    boost::asio::awaitable<void> handle_changes(
        const std::vector<platform::stored_object>& objects);

    /// Reads one object now, without waiting for the watch.
    boost::asio::awaitable<void> refresh(core::document_name name);

    /// How often a stored object was older than what the fleet holds.
    std::uint64_t count_old_objects() const { return this->old_objects; }
    std::uint64_t count_restores() const
    {
        return this->watch.count_restores();
    }
    std::uint64_t count_failures() const
    {
        return this->watch.count_failures();
    }
    bool is_watching() const { return this->watch.is_watching(); }

private:
    boost::asio::awaitable<void> choose_role();
    boost::asio::awaitable<void> take(platform::stored_object object);
    boost::asio::awaitable<void> write_back(
        platform::stored_object stored, const fleet::document& held);
    std::optional<fleet::document> document_of(
        const platform::stored_object& object) const;

    boost::asio::io_context& context;
    platform::object_client& store;
    fleet_port& fleet;
    platform::platform_watch<platform::object_client, platform_sync> watch;
    std::atomic<std::uint64_t> old_objects{ 0 };
    std::atomic<bool> stopped{ false };
};

} // namespace pollenward::main
