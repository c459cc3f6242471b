#pragma once

#include "core/runtime_timer.hpp"
#include "core/sharded_map.hpp"
#include "core/sharded_snapshot.hpp"
#include "fleet/document_store.hpp"
#include "fleet/fleet_transport.hpp"
#include "fleet/member_list.hpp"
#include "fleet/membership.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <atomic>
#include <cstdint>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <type_traits>
#include <utility>
#include <vector>

namespace pollenward::fleet {

/// Is called with each accepted document. Calls can come from several threads,
/// and a later version can overtake an earlier one, so the observer must
/// compare versions.
template <class Observer>
concept document_observer = requires(Observer& observer,
    const document& accepted) { observer.on_document(accepted); };

/// Handles the messages that are not about members or documents.
template <class Service>
concept message_service = requires(Service& service, message received) {
    {
        service.handle(received)
    } -> std::same_as<boost::asio::awaitable<message>>;
};

/// Membership, failure detection and document replication of this daemon. It
/// must outlive the executor's context, as must the transport, the observer and
/// the service.
template <fleet_transport Transport, document_observer Observer,
    message_service Service>
class fleet_node {
public:
    /// `seeds` are fleet endpoints to contact besides the platform's list;
    /// `seed` determines the order of pings.
    fleet_node(boost::asio::any_io_executor executor, Transport& transport,
        Observer& observer, Service& service, const member& self,
        std::vector<core::endpoint> seeds, std::uint64_t seed)
        : executor(std::move(executor))
        , transport(transport)
        , observer(observer)
        , service(service)
        , detector(self, std::move(seeds), seed)
        , known_members(std::vector<member>{ self })
    {
    }

    /// Starts to handle messages of other daemons and the membership loop.
    void start()
    {
        this->transport.serve([this](message received) {
            return this->handle(std::move(received));
        });
        this->spawn(this->run());
    }

    /// Ends the membership loop at its next period.
    void stop() { this->stopped = true; }

    /// All members, this daemon included, as of the last change.
    std::vector<member> members() const
    {
        return this->known_members.read(
            [](const std::vector<member>& all) { return all; });
    }

    member self() const
    {
        const std::lock_guard lock(this->mutex);
        return this->detector.get_self();
    }

    /// Ids of the members that can be aggregators and watchers.
    std::vector<core::daemon_id> live_daemons() const
    {
        return this->known_members.read(live_ids);
    }

    std::optional<member> find_member(const core::daemon_id& id) const
    {
        return this->known_members.read([&](const member_list& all) {
            return fleet::find_member(all, id);
        });
    }

    /// Time of the last exchange with a daemon in either direction.
    std::optional<core::time_point> last_exchange(
        const core::daemon_id& id) const
    {
        return this->last_exchanges.find(id);
    }

    /// Records the time of an exchange with a daemon.
    void record_exchange(const core::daemon_id& id)
    {
        this->last_exchanges.store(id, core::runtime_clock::now());
    }

    /// Sends a message to a member and records the time of its reply. Returns
    /// nothing, with the reason, if there is no valid reply.
    boost::asio::awaitable<std::optional<message>> exchange(
        core::daemon_id peer, message content, core::error& reason)
    {
        const auto receiver = this->find_member(peer);
        if (!receiver)
        {
            reason = core::error::make(
                "exchange", peer.str(), "the daemon is not in the member list");
            co_return std::nullopt;
        }
        auto reply = co_await this->transport.exchange(
            receiver->get_address(), std::move(content), reason);
        if (reply)
        {
            this->record_exchange(peer);
        }
        co_return reply;
    }

    /// Stores a document if it is newer than the stored one, and pushes it to
    /// other members. Returns how it compares.
    document_order publish(document offered)
    {
        const auto next = std::make_shared<const document>(std::move(offered));
        const document_order order = this->documents.store_if_newer(next);
        if (order == document_order::newer)
        {
            this->observer.on_document(*next);
            this->push_to_random_members(next);
        }
        return order;
    }

    /// The document in its newest accepted version; null if there is none.
    std::shared_ptr<const document> find(const core::document_name& name) const
    {
        return this->documents.find(name);
    }

    /// How often a document had the number of the stored one and another body.
    std::uint64_t count_conflicts() const
    {
        return this->documents.count_conflicts();
    }

    /// Stores the platform's list of daemons with their fleet endpoints.
    void set_hosts(const std::vector<platform::host_entry>& hosts)
    {
        this->with_detector([&] { this->detector.on_hosts(hosts); });
    }

    void set_version_in_force(core::version_number version)
    {
        this->with_detector(
            [&] { this->detector.set_version_in_force(version); });
    }

    /// Announces to a few members that this daemon leaves; they pass it on.
    boost::asio::awaitable<void> leave()
    {
        const probes sent
            = this->with_detector([&] { return this->detector.leave(); });
        for (const probe& each : sent)
        {
            co_await this->send(each);
        }
    }

private:
    /// Documents pushed to a peer for each ack that shows that it lags. The
    /// peer also fetches them, so pushes are only needed if it cannot.
    static constexpr std::size_t max_pushes = 4;

    void spawn(boost::asio::awaitable<void> task)
    {
        boost::asio::co_spawn(
            this->executor, std::move(task), boost::asio::detached);
    }

    /// Calls `step` under the lock of the membership, then publishes the member
    /// list. Two threads can publish in the wrong order; the next period
    /// corrects that.
    template <class Step>
    auto with_detector(Step step)
    {
        std::unique_lock lock(this->mutex);
        if constexpr (std::is_void_v<decltype(step())>)
        {
            step();
            auto list = this->detector.list();
            lock.unlock();
            this->known_members.store(std::move(list));
        }
        else
        {
            auto result = step();
            auto list = this->detector.list();
            lock.unlock();
            this->known_members.store(std::move(list));
            return result;
        }
    }

    boost::asio::awaitable<void> run()
    {
        while (!this->stopped)
        {
            const auto now = core::runtime_clock::now();
            for (const probe& each :
                this->with_detector([&] { return this->detector.tick(now); }))
            {
                this->spawn(this->send(each));
            }
            co_await core::wait_until(now + ping_interval);
        }
    }

    boost::asio::awaitable<void> send(probe sent)
    {
        core::error reason;
        const auto reply = co_await this->transport.exchange(
            sent.get_address(), this->with_hash(sent.get_content()), reason);
        const auto now = core::runtime_clock::now();
        const ack* replied = reply ? std::get_if<ack>(&*reply) : nullptr;
        if (replied == nullptr)
        {
            for (const probe& each : this->with_detector(
                     [&] { return this->detector.on_failure(sent, now); }))
            {
                this->spawn(this->send(each));
            }
            co_return;
        }
        this->with_detector(
            [&] { this->detector.on_ack(sent, *replied, now); });
        if (!sent.is_indirect())
        {
            this->record_exchange(replied->get_sender().get_id());
            co_await this->reconcile(
                sent.get_address(), replied->get_digests());
        }
    }

    message with_hash(const message& content) const
    {
        const ping* direct = std::get_if<ping>(&content);
        return direct == nullptr ? content
                                 : message(direct->with_documents_hash(
                                     hash_of(this->documents.digests())));
    }

    boost::asio::awaitable<void> reconcile(
        core::endpoint peer, document_digests peer_digests)
    {
        if (peer_digests.empty())
        {
            co_return;
        }
        const auto plan
            = sync_plan::make(this->documents.digests(), peer_digests);
        this->documents.add_conflicts(plan.get_conflicts().size());
        for (const core::document_name& name : plan.get_to_fetch())
        {
            co_await this->fetch(peer, name);
        }
        const auto& to_push = plan.get_to_push();
        for (std::size_t i = 0; i < std::min(max_pushes, to_push.size()); ++i)
        {
            if (const auto present = this->find(to_push[i]))
            {
                co_await this->push(peer, present);
            }
        }
    }

    boost::asio::awaitable<void> fetch(
        core::endpoint peer, core::document_name name)
    {
        const auto present = this->find(name);
        const auto present_version
            = present ? present->get_version() : core::version_number();
        core::error reason;
        auto reply = co_await this->transport.exchange(
            peer, fetch_document::make(name, present_version), reason);
        document* fetched = reply ? std::get_if<document>(&*reply) : nullptr;
        if (fetched != nullptr && fetched->get_name() == name)
        {
            this->publish(std::move(*fetched));
        }
    }

    boost::asio::awaitable<void> push(
        core::endpoint peer, document_pointer pushed)
    {
        core::error ignored;
        co_await this->transport.exchange(peer, *pushed, ignored);
    }

    void push_to_random_members(const document_pointer& pushed)
    {
        const auto receivers = this->with_detector(
            [&] { return this->detector.pick(push_fanout, {}); });
        for (const member& each : receivers)
        {
            this->spawn(this->push(each.get_address(), pushed));
        }
    }

    boost::asio::awaitable<message> handle(message received)
    {
        if (const ping* request = std::get_if<ping>(&received))
        {
            co_return this->reply_to_ping(*request);
        }
        if (const auto* request = std::get_if<ping_request>(&received))
        {
            co_return co_await this->relay_ping(*request);
        }
        if (const auto* request = std::get_if<fetch_document>(&received))
        {
            const auto present = this->find(request->get_name());
            co_return present
                    && present->get_version() > request->get_present_version()
                ? message(*present)
                : message(receipt::failed("no newer version"));
        }
        if (auto* offered = std::get_if<document>(&received))
        {
            this->publish(std::move(*offered));
            co_return receipt::accepted();
        }
        co_return co_await this->service.handle(std::move(received));
    }

    message reply_to_ping(const ping& request)
    {
        const auto now = core::runtime_clock::now();
        ack reply = this->with_detector(
            [&] { return this->detector.on_ping(request, now); });
        this->record_exchange(request.get_sender().get_id());
        auto own_digests = this->documents.digests();
        if (hash_of(own_digests) != request.get_documents_hash())
        {
            reply = reply.with_digests(std::move(own_digests));
        }
        return reply;
    }

    boost::asio::awaitable<message> relay_ping(ping_request request)
    {
        const auto now = core::runtime_clock::now();
        const probe sent = this->with_detector([&] {
            this->detector.on_record(request.get_sender(), now);
            return this->detector.ping_of(
                request.get_target(), request.get_target_address(), now);
        });
        core::error reason;
        const auto reply = co_await this->transport.exchange(
            sent.get_address(), this->with_hash(sent.get_content()), reason);
        const ack* replied = reply ? std::get_if<ack>(&*reply) : nullptr;
        if (replied == nullptr)
        {
            co_return receipt::failed(reason.describe());
        }
        this->with_detector([&] {
            this->detector.on_ack(sent, *replied, core::runtime_clock::now());
        });
        this->record_exchange(replied->get_sender().get_id());
        co_return replied->with_digests({});
    }

    boost::asio::any_io_executor executor;
    Transport& transport;
    Observer& observer;
    Service& service;
    mutable std::mutex mutex;
    membership detector;
    core::sharded_snapshot<std::vector<member>> known_members;
    document_store documents;
    core::sharded_map<core::daemon_id, core::time_point> last_exchanges;
    std::atomic<bool> stopped{ false };
};

} // namespace pollenward::fleet
