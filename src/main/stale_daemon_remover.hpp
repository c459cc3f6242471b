#pragma once

#include "core/runtime_clock.hpp"
#include "core/units.hpp"
#include "fleet/member.hpp"
#include "fleet/silent_daemons.hpp"
#include "operators/event.hpp"
#include "platform/listing.hpp"

#include <boost/asio/awaitable.hpp>

#include <algorithm>
#include <concepts>
#include <cstddef>
#include <vector>

namespace pollenward::main {

/// Asks another daemon for a reply.
template <class Type>
concept reply_check = requires(Type& type, core::daemon_id peer) {
    {
        type.exchange_records(peer)
    } -> std::same_as<boost::asio::awaitable<bool>>;
};

/// Removes entries of daemons from the store, if they have not changed since
/// the given revision.
template <class Type>
concept daemon_register = requires(
    Type& type, const fleet::member& who, core::store_revision revision) {
    {
        type.remove(who, revision)
    } -> std::same_as<boost::asio::awaitable<bool>>;
};

/// Removes the entries of daemons that are gone from the list of daemons, which
/// only a daemon that stops in order leaves by itself. Each daemon checks the
/// next one of its zone, and the ones after it while they do not reply. A
/// daemon that was removed by mistake registers again.
template <reply_check Peers, daemon_register Store>
class stale_daemon_remover {
public:
    stale_daemon_remover(Peers& peers, Store& store)
        : peers(peers)
        , store(store)
    {
    }

    /// Called with each new list of daemons. One call at a time.
    boost::asio::awaitable<void> check(
        fleet::member self, platform::listing<fleet::member> listed)
    {
        std::vector<fleet::member> members;
        for (const auto& each : listed.get_objects())
        {
            if (each.get_value())
            {
                members.push_back(*each.get_value());
            }
        }
        const auto ring = fleet::ring_after(self, members);
        bool has_contact = co_await this->check_ring(ring);
        if (!has_contact)
        {
            has_contact = co_await this->reaches_other_zone(self, members);
        }
        if (!has_contact)
        {
            this->silent.on_isolation();
        }
        for (const auto& each : listed.get_objects())
        {
            const auto& who = each.get_value();
            if (who
                && this->silent.is_gone(
                    who->get_id(), core::runtime_clock::now()))
            {
                co_await this->remove(*who, each.get_revision());
            }
        }
        this->silent.expire(core::runtime_clock::now());
    }

private:
    /// False if no daemon of the ring replied.
    boost::asio::awaitable<bool> check_ring(std::vector<fleet::member> ring)
    {
        // Bounds the time of a check, since each silent daemon costs a
        // time-out. The ones after them follow when these are removed.
        constexpr std::size_t max_checks = 8;
        ring.resize(std::min(ring.size(), max_checks));
        for (const fleet::member& each : ring)
        {
            core::daemon_id who = each.get_id();
            const bool has_reply = co_await this->peers.exchange_records(who);
            if (has_reply)
            {
                this->silent.on_reply(who);
                co_return true;
            }
            this->silent.on_no_reply(who, core::runtime_clock::now());
        }
        co_return false;
    }

    /// Whether one of a few daemons of other zones replies.
    boost::asio::awaitable<bool> reaches_other_zone(
        fleet::member self, std::vector<fleet::member> members)
    {
        constexpr int max_checks = 3;
        int checks = 0;
        for (const fleet::member& each : members)
        {
            if (each.get_zone() == self.get_zone() || checks == max_checks)
            {
                continue;
            }
            ++checks;
            core::daemon_id who = each.get_id();
            const bool has_reply = co_await this->peers.exchange_records(who);
            if (has_reply)
            {
                co_return true;
            }
        }
        co_return false;
    }

    boost::asio::awaitable<void> remove(
        fleet::member who, core::store_revision revision)
    {
        const bool is_removed = co_await this->store.remove(who, revision);
        operators::write(operators::event::make("fleet.member_removed")
                             .with("daemon", who.get_id())
                             .with("revision", revision.get_number())
                             .with("removed", is_removed));
        if (is_removed)
        {
            this->silent.on_removed(who.get_id());
        }
    }

    Peers& peers;
    Store& store;
    fleet::silent_daemons silent;
};

} // namespace pollenward::main
