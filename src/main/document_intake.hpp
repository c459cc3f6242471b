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

/// Brings objects of the platform into the fleet as documents, and brings a
/// store that was restored from an older state up to the newest accepted
/// versions; a platform::change_handler.
class document_intake {
public:
    document_intake(platform::object_client& store, fleet_network& fleet)
        : store(store)
        , fleet(fleet)
    {
    }

    boost::asio::awaitable<void> handle_changes(
        const std::vector<platform::stored_object>& objects);

    /// Reads one object now, without waiting for the watch.
    boost::asio::awaitable<void> refresh(core::document_name name);

    /// How often a stored object was older than what the fleet holds.
    std::uint64_t count_old_objects() const { return this->old_objects; }

private:
    boost::asio::awaitable<void> take(platform::stored_object object);
    boost::asio::awaitable<void> write_back(
        const platform::stored_object& stored, const fleet::document& held);
    std::optional<fleet::document> document_of(
        const platform::stored_object& object) const;

    platform::object_client& store;
    fleet_network& fleet;
    std::atomic<std::uint64_t> old_objects{ 0 };
};

} // namespace pollenward::main
