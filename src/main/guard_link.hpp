#pragma once

#include "caller/caller_request.hpp"
#include "core/ids.hpp"
#include "core/rendezvous.hpp"
#include "fleet/aggregator_selection.hpp"
#include "fleet/crash_notice.hpp"
#include "fleet/message.hpp"
#include "main/fleet_port.hpp"
#include "operators/event.hpp"
#include "upstream/forward_request.hpp"
#include "upstream/request_fingerprint.hpp"
#include "upstream/request_guard.hpp"

#include <concepts>
#include <string>
#include <vector>

namespace pollenward::main {

/// Reaches the other daemons of the fleet.
template <class Type>
concept daemon_network = requires(
    Type& type, const core::daemon_id& peer, fleet::message content) {
    {
        type.self().get_id()
    } -> std::convertible_to<core::daemon_id>;
    {
        type.live_daemons()
    } -> std::same_as<std::vector<fleet::zone_daemon>>;
    type.tell(peer, content);
};

/// The request guard of this daemon, joined to those of the others: each first
/// word about a crash is passed on to a few daemons, which do the same.
template <daemon_network Network>
class basic_guard_link {
public:
    explicit basic_guard_link(Network& network)
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

    /// A worker answered the request, so it is not what crashed workers.
    void on_success(const upstream::forward_request& request)
    {
        if (this->guard.size() != 0)
        {
            this->guard.on_success(fingerprint_of(request));
        }
    }

    /// A peer's word about a crash.
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
        this->pass_on(notice);
    }

    upstream::request_guard& get_guard() { return this->guard; }

private:
    /// With each daemon passing a word on to three others, it reaches 470
    /// daemons in about six steps.
    static constexpr std::size_t notice_fanout = 3;

    static std::uint64_t fingerprint_of(
        const upstream::forward_request& request)
    {
        return upstream::fingerprint_of(
            request.get_kind(), request.get_message());
    }

    void pass_on(const fleet::crash_notice& notice)
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
        // Each daemon chooses others, so that the word reaches all of them.
        const std::string key
            = self.str() + std::to_string(notice.get_fingerprint());
        for (const auto& peer :
            core::rendezvous_top(key, others, notice_fanout))
        {
            this->network.tell(peer, notice);
        }
    }

    Network& network;
    upstream::request_guard guard;
};

using guard_link = basic_guard_link<fleet_port>;

} // namespace pollenward::main
