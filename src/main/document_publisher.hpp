#pragma once

#include "fleet/document.hpp"
#include "main/fleet_network.hpp"
#include "platform/object_client.hpp"
#include "platform/stored_object.hpp"

#include <boost/asio/awaitable.hpp>

#include <atomic>
#include <cstdint>
#include <optional>
#include <vector>

namespace pollenward::main {

/// Publishes objects of the platform's store to the fleet as documents. Writes
/// the newest accepted versions back to a store that was restored from an older
/// state. A platform::change_handler.
class document_publisher {
public:
    document_publisher(platform::object_client& store, fleet_network& fleet)
        : store(store)
        , fleet(fleet)
    {
    }

    boost::asio::awaitable<void> handle_changes(
        const std::vector<platform::stored_object>& objects);

    /// Reads one object now, without waiting for the watch.
    boost::asio::awaitable<void> refresh(core::document_name name);

    /// Number of stored objects that were older than the fleet's document.
    std::uint64_t count_old_objects() const { return this->old_objects; }

private:
    boost::asio::awaitable<void> publish_object(platform::stored_object object);
    boost::asio::awaitable<void> write_back(
        const platform::stored_object& stored, const fleet::document& current);
    std::optional<fleet::document> make_document(
        const platform::stored_object& object) const;

    platform::object_client& store;
    fleet_network& fleet;
    std::atomic<std::uint64_t> old_objects{ 0 };
};

} // namespace pollenward::main
