#pragma once

#include "core/ids.hpp"
#include "core/sharded_map.hpp"
#include "core/sharded_snapshot.hpp"
#include "fleet/aggregator_selection.hpp"
#include "fleet/member.hpp"
#include "fleet/message.hpp"
#include "fleet/nng_transport.hpp"
#include "fleet/zone_aggregator.hpp"
#include "upstream/placement_state.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <atomic>
#include <cstddef>
#include <optional>
#include <utility>
#include <variant>
#include <vector>

namespace pollenward::main {

/// Times of a zone_link.
struct zone_times {
    /// Time between reports while there is something to tell. What one daemon
    /// saw is known in the zone after twice this time.
    core::milliseconds report{ 100 };
    /// Time between reports without anything to tell.
    core::milliseconds idle_report{ 1000 };
    /// How long a home that did not reply is passed over.
    core::milliseconds avoid_home{ 2000 };
    /// Time in which a daemon of the zone replies, 0.1 ms away.
    core::milliseconds exchange{ 300 };
};

/// Joins the workers' board of this daemon to those of its zone: each daemon
/// reports to the zone's home and learns from the reply what the others saw.
/// Also reaches all daemons of the fleet, for the request guard.
class zone_link {
public:
    zone_link(boost::asio::io_context& context, fleet::member self,
        upstream::placement_state& board, zone_times times = {});

    /// Binds the listener. Messages that are not reports go to `others`.
    bool start(fleet::message_handler others, core::error& reason);
    void stop();

    /// Replaces the daemons of the fleet, as the store lists them.
    void set_members(std::vector<fleet::member> listed);

    /// For main::daemon_network.
    const fleet::member& self() const { return this->identity; }
    std::vector<fleet::zone_daemon> live_daemons() const;
    void tell(const core::daemon_id& peer, fleet::message content);

    std::vector<fleet::member> members() const;

    /// The daemons of this zone that others rely on, the first one first;
    /// those that did not reply lately are left out.
    std::vector<fleet::member> homes(
        std::size_t count, core::time_point now) const;

    /// Sends a message to a home; nothing, with a line in the log, if it does
    /// not reply as expected. It is passed over for a while then.
    template <class Reply>
    boost::asio::awaitable<std::optional<Reply>> exchange(
        fleet::member home, fleet::message content)
    {
        core::error reason = core::error::make(
            "exchange with home", home.get_id().str(), "unexpected reply");
        core::endpoint address = home.get_address();
        auto reply = co_await this->transport.exchange(
            std::move(address), std::move(content), reason);
        if (reply && std::holds_alternative<Reply>(*reply))
        {
            co_return std::get<Reply>(std::move(*reply));
        }
        this->avoid(home.get_id(), reason);
        co_return std::nullopt;
    }

private:
    void avoid(const core::daemon_id& home, const core::error& reason);
    boost::asio::awaitable<void> report_all();
    boost::asio::awaitable<void> report();
    boost::asio::awaitable<fleet::message> answer(fleet::message received);
    fleet::zone_report make_report(core::time_point now);
    void take_view(const fleet::zone_view& view, core::time_point now);
    std::optional<fleet::member> find(const core::daemon_id& id) const;

    boost::asio::io_context& context;
    fleet::member identity;
    upstream::placement_state& board;
    zone_times times;
    fleet::nng_transport transport;
    fleet::zone_aggregator home_state;
    fleet::message_handler other_messages;
    core::sharded_snapshot<std::vector<fleet::member>> listed;
    core::sharded_map<core::daemon_id, core::time_point> avoided_until;
    std::atomic<bool> stopped{ false };
};

} // namespace pollenward::main
