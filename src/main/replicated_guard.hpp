#pragma once

#include "caller/caller_request.hpp"
#include "core/ids.hpp"
#include "core/rendezvous.hpp"
#include "core/runtime_timer.hpp"
#include "fleet/aggregator_selection.hpp"
#include "fleet/crash_notice.hpp"
#include "fleet/message.hpp"
#include "main/crash_histories.hpp"
#include "main/fleet_network.hpp"
#include "operators/event.hpp"
#include "upstream/dispatcher.hpp"
#include "upstream/forward_request.hpp"
#include "upstream/request_fingerprint.hpp"
#include "upstream/request_guard.hpp"

#include <boost/asio/awaitable.hpp>

#include <algorithm>
#include <atomic>
#include <concepts>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace pollenward::main {

/// Sends messages to the other daemons of the fleet. `live_daemons()` may still
/// contain daemons that are gone.
template <class Type>
concept daemon_network = requires(Type& type, const core::daemon_id& peer,
    fleet::message content, core::error& reason) {
    {
        type.self().get_id()
    } -> std::convertible_to<core::daemon_id>;
    {
        type.live_daemons()
    } -> std::same_as<std::vector<fleet::zone_daemon>>;
    type.send(peer, content);
    {
        type.exchange(peer, content, reason)
    } -> std::same_as<boost::asio::awaitable<std::optional<fleet::message>>>;
};

/// Intervals of a replicated guard.
struct guard_sync_times {
    /// Time between exchanges of records with one other daemon, and between
    /// attempts of a new daemon to read the records of the others.
    core::milliseconds exchange{ 1000 };
    /// Time between the trials that two daemons may start, more than a notice
    /// needs to reach the whole fleet.
    core::milliseconds trial_step{ 250 };
    /// All daemons may start a trial after this time.
    core::milliseconds max_trial_spread{ 10'000 };
};

/// The request guard of this daemon and its replication. A change of a record
/// is sent to all listed daemons at once. Since a notice can be lost, and a
/// daemon may have been restarted, each daemon also exchanges the records of
/// blocked requests with a random other one, and a new daemon reads them from a
/// few others. A daemon without records exchanges too: it may have been cut off
/// when the notices were sent.
template <daemon_network Network>
class basic_replicated_guard {
public:
    explicit basic_replicated_guard(
        Network& network, guard_sync_times times = {})
        : network(network)
        , times(times)
    {
    }

    /// For caller::request_pipeline. Starts a trial if one is due.
    bool admits(const caller::caller_request& request)
    {
        if (this->guard.size() == 0)
        {
            return true;
        }
        const auto now = core::runtime_clock::now();
        const auto fingerprint = upstream::fingerprint_of(
            request.get_kind().get_id(), request.get_message());
        const auto delay = this->guard.is_blocked(fingerprint, now)
            ? this->trial_delay(fingerprint)
            : core::milliseconds::zero();
        const auto decision
            = this->guard.check(fingerprint, request.get_id(), delay, now);
        if (decision == upstream::guard_decision::trial)
        {
            operators::write(operators::event::make("guard.trial")
                                 .with("request", request.get_id())
                                 .with("fingerprint", fingerprint));
            this->send_record(fingerprint);
        }
        return decision != upstream::guard_decision::refuse;
    }

    /// For the dispatcher. `started_at` and `ended_at` are those of the run.
    void on_crash(const upstream::forward_request& request,
        const core::worker_id& worker, core::time_point started_at,
        core::time_point ended_at)
    {
        const auto fingerprint = fingerprint_of(request);
        const bool was_blocked
            = this->guard.is_blocked(fingerprint, core::runtime_clock::now());
        const auto record = this->guard.on_crash(fingerprint,
            upstream::crash_event::make(
                request.get_id(), worker, started_at, ended_at));
        if (record)
        {
            operators::write(operators::event::make("guard.crash")
                                 .with("request", request.get_id())
                                 .with("fingerprint", fingerprint)
                                 .with("worker", worker)
                                 .with("ran_ms", ended_at - started_at));
            this->write_change(fingerprint, was_blocked);
            this->send_record(fingerprint);
        }
    }

    /// A worker ran the request to its end, so the request did not cause the
    /// crashes.
    void on_success(const upstream::forward_request& request)
    {
        if (this->guard.size() == 0)
        {
            return;
        }
        const auto fingerprint = fingerprint_of(request);
        const bool was_blocked
            = this->guard.is_blocked(fingerprint, core::runtime_clock::now());
        if (this->guard.on_success(fingerprint))
        {
            this->write_change(fingerprint, was_blocked);
            this->send_record(fingerprint);
        }
    }

    /// Merges the records of another daemon and returns what it lacks.
    fleet::crash_notice on_notice(const fleet::crash_notice& notice)
    {
        const auto now = core::runtime_clock::now();
        std::vector<upstream::named_crash_record> lacking;
        std::vector<std::uint64_t> named;
        for (const fleet::crash_history& each : notice.get_histories())
        {
            const auto received = to_record(each, now);
            const auto fingerprint = received.first;
            if (received.second.is_expired(now))
            {
                continue;
            }
            const bool was_blocked = this->guard.is_blocked(fingerprint, now);
            const auto own = this->guard.merge(fingerprint, received.second);
            this->write_change(fingerprint, was_blocked);
            named.push_back(fingerprint);
            if (received.second.lacks(own))
            {
                lacking.emplace_back(fingerprint, own);
            }
        }
        for (auto& each : this->guard.blocking_records(
                 fleet::crash_notice::max_histories, now))
        {
            const bool is_named
                = std::find(named.begin(), named.end(), each.first)
                != named.end();
            if (!is_named
                && lacking.size() < fleet::crash_notice::max_histories)
            {
                lacking.push_back(std::move(each));
            }
        }
        return make_notice(lacking, now);
    }

    /// Exchanges records with other daemons until stop().
    boost::asio::awaitable<void> run()
    {
        bool is_joined = false;
        while (!this->stopped)
        {
            co_await core::wait_until(
                core::runtime_clock::now() + this->times.exchange);
            const std::size_t replies = co_await this->exchange_with_random(
                is_joined ? 1 : join_peers);
            is_joined = is_joined || replies > 0;
        }
    }

    void stop() { this->stopped = true; }

    /// Sends the records of blocked requests to a daemon and merges its reply.
    /// False without a reply.
    boost::asio::awaitable<bool> exchange_records(core::daemon_id peer)
    {
        const auto now = core::runtime_clock::now();
        fleet::message sent(
            make_notice(this->guard.blocking_records(
                            fleet::crash_notice::max_histories, now),
                now));
        core::error reason;
        const auto reply = co_await this->network.exchange(
            std::move(peer), std::move(sent), reason);
        const auto* notice
            = reply ? std::get_if<fleet::crash_notice>(&*reply) : nullptr;
        if (notice != nullptr)
        {
            this->on_notice(*notice);
        }
        co_return reply.has_value();
    }

    upstream::request_guard& get_guard() { return this->guard; }

private:
    /// Daemons that a new one asks, so that one that is new itself does not
    /// matter.
    static constexpr std::size_t join_peers = 3;

    /// Daemons that are tried in one round of exchanges. If two thirds of the
    /// listed ones are gone, a round reaches none with a probability of 0.15%;
    /// a daemon that is cut off does not try the whole list each second.
    static constexpr std::size_t max_attempts = 16;

    /// Exchanges records with random daemons until `count` of them have
    /// replied, since listed ones may be gone; returns how many replied.
    boost::asio::awaitable<std::size_t> exchange_with_random(std::size_t count)
    {
        std::size_t replies = 0;
        for (const core::daemon_id& peer : this->select_peers(max_attempts))
        {
            if (replies == count || this->stopped)
            {
                break;
            }
            replies += co_await this->exchange_records(peer) ? 1 : 0;
        }
        co_return replies;
    }

    static std::uint64_t fingerprint_of(
        const upstream::forward_request& request)
    {
        return upstream::fingerprint_of(
            request.get_kind(), request.get_message());
    }

    static fleet::crash_notice make_notice(
        const std::vector<upstream::named_crash_record>& records,
        core::time_point now)
    {
        std::vector<fleet::crash_history> histories;
        histories.reserve(records.size());
        for (const auto& each : records)
        {
            histories.push_back(to_history(each, now));
        }
        return fleet::crash_notice::make(std::move(histories));
    }

    std::vector<core::daemon_id> others() const
    {
        std::vector<core::daemon_id> found;
        const core::daemon_id self = this->network.self().get_id();
        for (const fleet::zone_daemon& each : this->network.live_daemons())
        {
            if (each.get_daemon() != self)
            {
                found.push_back(each.get_daemon());
            }
        }
        return found;
    }

    std::vector<core::daemon_id> select_peers(std::size_t count) const
    {
        const auto key = std::to_string(upstream::random_bits());
        return core::rendezvous_top(key, this->others(), count);
    }

    /// The daemons may start a trial one after the other, in an order that
    /// depends on the request.
    core::duration trial_delay(std::uint64_t fingerprint) const
    {
        const std::string key = std::to_string(fingerprint);
        const auto own_score = core::rendezvous_score(
            key, core::daemon_id(this->network.self().get_id()).str());
        const auto peers = this->others();
        const auto before = std::count_if(
            peers.begin(), peers.end(), [&](const core::daemon_id& each) {
                return core::rendezvous_score(key, each.str()) > own_score;
            });
        const auto all = static_cast<std::int64_t>(peers.size()) + 1;
        const core::duration step = std::min<core::duration>(
            this->times.trial_step, this->times.max_trial_spread / all);
        return step * before;
    }

    /// Logs that the request is refused from now on, or no longer.
    void write_change(std::uint64_t fingerprint, bool was_blocked) const
    {
        const auto now = core::runtime_clock::now();
        const bool is_blocked = this->guard.is_blocked(fingerprint, now);
        const auto record = this->guard.find(fingerprint);
        if (is_blocked == was_blocked || !record)
        {
            return;
        }
        const auto& last = record->get_events().back();
        operators::write(operators::event::make(
            is_blocked ? "guard.blocked" : "guard.unblocked")
                             .with("request", last.get_request())
                             .with("fingerprint", fingerprint)
                             .with("workers", record->get_events().size()));
    }

    void send_record(std::uint64_t fingerprint)
    {
        const auto record = this->guard.find(fingerprint);
        if (!record)
        {
            return;
        }
        const auto notice = make_notice(
            { { fingerprint, *record } }, core::runtime_clock::now());
        for (const core::daemon_id& peer : this->others())
        {
            this->network.send(peer, notice);
        }
    }

    Network& network;
    guard_sync_times times;
    upstream::request_guard guard;
    std::atomic<bool> stopped{ false };
};

using replicated_guard = basic_replicated_guard<fleet_network>;

} // namespace pollenward::main
