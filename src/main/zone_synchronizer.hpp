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

/// Intervals and time limits of a zone_synchronizer.
struct zone_sync_times {
    /// Time between reports while there is traffic. An observation reaches the
    /// whole zone after twice this time.
    core::milliseconds report{ 100 };
    /// Time between reports without traffic.
    core::milliseconds idle_report{ 1000 };
    /// How long an aggregator that did not reply is not selected.
    core::milliseconds aggregator_retry_delay{ 2000 };
    /// Reply timeout within the zone, where the latency is 0.1 ms.
    core::milliseconds exchange{ 300 };
};

/// Shares this daemon's placement state within its zone: each daemon reports to
/// the zone's aggregator, whose reply has the merged reports of the others.
/// Also sends to all daemons of the fleet, for the request guard.
class zone_synchronizer {
public:
    zone_synchronizer(boost::asio::io_context& context, fleet::member self,
        upstream::placement_state& placement, zone_sync_times times = {});

    /// Binds the listener. Messages that are not reports go to
    /// `other_handler`.
    bool start(fleet::message_handler other_handler, core::error& reason);
    void stop();

    /// Replaces the daemons of the fleet by those that the store lists.
    void set_members(std::vector<fleet::member> changed);

    /// For main::daemon_network.
    const fleet::member& self() const { return this->identity; }
    std::vector<fleet::zone_daemon> live_daemons() const;
    void send(const core::daemon_id& peer, fleet::message content);
    /// Nothing, with the reason, without a reply.
    boost::asio::awaitable<std::optional<fleet::message>> exchange(
        core::daemon_id peer, fleet::message content, core::error& reason);

    std::vector<fleet::member> members() const;
    std::optional<fleet::member> find(const core::daemon_id& id) const;

    /// The first `count` aggregators of this zone, without those that recently
    /// failed to reply.
    std::vector<fleet::member> aggregators(
        std::size_t count, core::time_point now) const;

    /// Sends a message to an aggregator. Without a reply of the expected type,
    /// logs this, returns nothing and does not select it for a while.
    template <class Reply>
    boost::asio::awaitable<std::optional<Reply>> exchange(
        fleet::member aggregator, fleet::message content)
    {
        core::error reason = core::error::make("exchange with aggregator",
            aggregator.get_id().str(), "unexpected reply");
        core::endpoint address = aggregator.get_address();
        auto reply = co_await this->transport.exchange(
            std::move(address), std::move(content), reason);
        if (reply && std::holds_alternative<Reply>(*reply))
        {
            co_return std::get<Reply>(std::move(*reply));
        }
        this->avoid_aggregator(aggregator.get_id(), reason);
        co_return std::nullopt;
    }

private:
    void avoid_aggregator(
        const core::daemon_id& aggregator, const core::error& reason);
    boost::asio::awaitable<void> report_periodically();
    boost::asio::awaitable<void> report();
    boost::asio::awaitable<fleet::message> answer(fleet::message received);
    fleet::zone_report make_report(core::time_point now);
    void store_view(const fleet::zone_view& view, core::time_point now);

    boost::asio::io_context& context;
    fleet::member identity;
    upstream::placement_state& placement;
    zone_sync_times times;
    fleet::nng_transport transport;
    fleet::zone_aggregator aggregator;
    fleet::message_handler other_handler;
    core::sharded_snapshot<std::vector<fleet::member>> fleet_members;
    core::sharded_map<core::daemon_id, core::time_point> avoided_until;
    std::atomic<bool> stopped{ false };
};

} // namespace pollenward::main
