#pragma once

#include "core/endpoint.hpp"
#include "core/ids.hpp"
#include "core/runtime_clock.hpp"
#include "fleet/aggregator_selection.hpp"
#include "fleet/document.hpp"
#include "fleet/document_sync.hpp"
#include "fleet/member.hpp"
#include "fleet/message.hpp"
#include "fleet/nng_transport.hpp"
#include "main/settings.hpp"
#include "platform/host_entry.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace pollenward::main {

class document_applier;
class message_router;

/// Messages, membership and documents of the fleet, for the other parts of the
/// daemon. The parts that handle messages also use it, so it is constructed
/// before them and started after them.
class fleet_network {
public:
    fleet_network(boost::asio::io_context& context,
        const settings& own_settings, core::incarnation_number incarnation);
    ~fleet_network();

    /// Binds the listener and joins the fleet. False, with the reason, if the
    /// listener cannot be bound.
    bool start(document_applier& documents, message_router& router,
        const std::vector<core::endpoint>& seeds, core::error& reason);

    /// Ends the membership loop and fails the exchanges in flight.
    void stop();

    boost::asio::awaitable<std::optional<fleet::message>> exchange(
        core::daemon_id peer, fleet::message content, core::error& reason);

    /// Sends in the background; a lost message is not reported.
    void send(const core::daemon_id& peer, fleet::message content);

    boost::asio::awaitable<void> leave();

    fleet::member self() const;
    std::vector<fleet::member> members() const;
    std::vector<fleet::zone_daemon> live_daemons() const;
    std::optional<core::time_point> last_exchange(
        const core::daemon_id& id) const;

    fleet::document_order publish(fleet::document offered);
    std::shared_ptr<const fleet::document> find(
        const core::document_name& name) const;
    std::uint64_t count_conflicts() const;

    void set_hosts(const std::vector<platform::host_entry>& hosts);
    void set_version_in_force(core::version_number version);

    const fleet::nng_transport& get_transport() const
    {
        return this->transport;
    }

private:
    struct joined_node;

    boost::asio::io_context& context;
    core::endpoint listener;
    fleet::member identity;
    fleet::nng_transport transport;
    std::unique_ptr<joined_node> joined;
};

} // namespace pollenward::main
