#pragma once

#include "main/claim_client.hpp"
#include "main/document_board.hpp"
#include "main/fleet_network.hpp"
#include "platform/object_client.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <atomic>
#include <vector>

namespace pollenward::main {

/// Keeps the claim roster in the platform in step with the live daemons. Any
/// daemon may do so at any time, since the platform takes one conditional
/// update a version; that one daemon is chosen only saves calls.
class roster_keeper {
public:
    roster_keeper(boost::asio::io_context& context,
        platform::object_client& store, claim_service& claims,
        const claim_client& link, fleet_network& fleet)
        : context(context)
        , store(store)
        , claims(claims)
        , link(link)
        , fleet(fleet)
    {
    }

    void start();
    void stop() { this->stopped = true; }

private:
    boost::asio::awaitable<void> run();
    boost::asio::awaitable<void> copy_claims();
    bool is_keeper() const;
    std::vector<caller::roster_member> live_members() const;
    boost::asio::awaitable<void> write_next();
    boost::asio::awaitable<void> write(
        core::version_number stored_version, caller::claim_roster next);

    boost::asio::io_context& context;
    platform::object_client& store;
    claim_service& claims;
    const claim_client& link;
    fleet_network& fleet;
    std::atomic<bool> stopped{ false };
};

} // namespace pollenward::main
