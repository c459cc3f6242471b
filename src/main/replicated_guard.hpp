#pragma once

#include "caller/caller_request.hpp"
#include "core/ids.hpp"
#include "core/rendezvous.hpp"
#include "fleet/aggregator_selection.hpp"
#include "fleet/crash_notice.hpp"
#include "fleet/message.hpp"
#include "main/fleet_network.hpp"
#include "operators/event.hpp"
#include "upstream/forward_request.hpp"
#include "upstream/request_fingerprint.hpp"
#include "upstream/request_guard.hpp"

#include <concepts>
#include <string>
#include <vector>

namespace pollenward::main {

/// Sends messages to the other daemons of the fleet.
template <class Type>
concept daemon_network = requires(
    Type& type, const core::daemon_id& peer, fleet::message content) {
    {
        type.self().get_id()
    } -> std::convertible_to<core::daemon_id>;
    {
        type.live_daemons()
    } -> std::same_as<std::vector<fleet::zone_daemon>>;
    type.send(peer, content);
};

/// The request guard of this daemon, replicated by gossip: the first notice of
/// each crash is forwarded to a few daemons, which do the same.
template <daemon_network Network>
class basic_replicated_guard {
public:
    explicit basic_replicated_guard(Network& network)
        : network(network)
    {
    }

    /// For caller::request_pipeline.
    bool is_blocked(const caller::caller_request& request) const
    {
        const auto fingerprint = upstream::fingerprint_of(
            request.get_kind().get_id(), request.get_message());
        return this->guard.is_blocked(fingerprint, core::runtime_clock::now());
    }

    /// For the dispatcher.
    void on_crash(
        const upstream::forward_request& request, const core::worker_id& worker)
    {
        this->on_notice(fleet::crash_notice::make(
            fingerprint_of(request), request.get_id(), worker));
    }

    /// A worker answered the request, so the request did not cause the crashes.
    void on_success(const upstream::forward_request& request)
    {
        if (this->guard.size() != 0)
        {
            this->guard.on_success(fingerprint_of(request));
        }
    }

    /// Records a notice of a crash and forwards it if it is new.
    void on_notice(const fleet::crash_notice& notice)
    {
        const auto now = core::runtime_clock::now();
        const auto fingerprint = notice.get_fingerprint();
        const bool was_blocked = this->guard.is_blocked(fingerprint, now);
        if (!this->guard.on_crash(fingerprint, notice.get_worker(), now))
        {
            return;
        }
        if (!was_blocked && this->guard.is_blocked(fingerprint, now))
        {
            operators::write(
                operators::event::make("guard.blocked")
                    .with("request", notice.get_request())
                    .with("fingerprint", fingerprint)
                    .with("workers", upstream::max_crashed_workers));
        }
        this->forward_notice(notice);
    }

    upstream::request_guard& get_guard() { return this->guard; }

private:
    /// If each daemon forwards a notice to three others, it reaches 470 daemons
    /// in about six steps.
    static constexpr std::size_t notice_fanout = 3;

    static std::uint64_t fingerprint_of(
        const upstream::forward_request& request)
    {
        return upstream::fingerprint_of(
            request.get_kind(), request.get_message());
    }

    void forward_notice(const fleet::crash_notice& notice)
    {
        std::vector<core::daemon_id> others;
        const core::daemon_id self = this->network.self().get_id();
        for (const fleet::zone_daemon& each : this->network.live_daemons())
        {
            if (each.get_daemon() != self)
            {
                others.push_back(each.get_daemon());
            }
        }
        // Each daemon selects different peers, so that a notice reaches all.
        const std::string key
            = self.str() + std::to_string(notice.get_fingerprint());
        for (const auto& peer :
            core::rendezvous_top(key, others, notice_fanout))
        {
            this->network.send(peer, notice);
        }
    }

    Network& network;
    upstream::request_guard guard;
};

using replicated_guard = basic_replicated_guard<fleet_network>;

} // namespace pollenward::main
