#pragma once

#include "main/claim_client.hpp"
#include "main/document_applier.hpp"
#include "main/fleet_network.hpp"
#include "platform/object_client.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <atomic>
#include <vector>

namespace pollenward::main {

/// Updates the claim roster in the platform's store when the live daemons
/// change. Any daemon may do so at any time, since the store accepts one
/// conditional update per version; one daemon is chosen only to save calls.
class roster_updater {
public:
    roster_updater(boost::asio::io_context& context,
        platform::object_client& store, claim_service& claims,
        const claim_client& peer_claims, fleet_network& fleet)
        : context(context)
        , store(store)
        , claims(claims)
        , peer_claims(peer_claims)
        , fleet(fleet)
    {
    }

    void start();
    void stop() { this->stopped = true; }

private:
    boost::asio::awaitable<void> run();
    boost::asio::awaitable<void> copy_claims();
    bool is_preferred_updater() const;
    std::vector<caller::roster_member> live_members() const;
    boost::asio::awaitable<void> write_next();
    boost::asio::awaitable<void> write(
        core::version_number stored_version, caller::claim_roster next);

    boost::asio::io_context& context;
    platform::object_client& store;
    claim_service& claims;
    const claim_client& peer_claims;
    fleet_network& fleet;
    std::atomic<bool> stopped{ false };
};

} // namespace pollenward::main
