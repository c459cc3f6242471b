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

/// What the parts of the daemon need of the other daemons. The parts that
/// answer messages need it too, so it is made first and started last.
class fleet_port {
public:
    fleet_port(boost::asio::io_context& context, const settings& chosen,
        core::incarnation_number incarnation);
    ~fleet_port();

    /// Binds the listener and joins the fleet. False, with the reason, if the
    /// listener cannot be bound.
    bool start(document_applier& board, message_router& router,
        const std::vector<core::endpoint>& seeds, core::error& reason);

    /// Ends the membership loop and fails the exchanges in flight.
    void stop();

    boost::asio::awaitable<std::optional<fleet::message>> exchange(
        core::daemon_id peer, fleet::message content, core::error& reason);

    /// Sends in the background; a loss is not noticed.
    void tell(const core::daemon_id& peer, fleet::message content);

    boost::asio::awaitable<void> leave();

    fleet::member self() const;
    std::vector<fleet::member> members() const;
    std::vector<fleet::zone_daemon> live_daemons() const;
    std::optional<core::time_point> last_heard(const core::daemon_id& id) const;

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
