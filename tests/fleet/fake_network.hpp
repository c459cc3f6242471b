#pragma once

#include "core/runtime_timer.hpp"
#include "fleet/fleet_node.hpp"

#include <boost/asio/io_context.hpp>

#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace pollenward::fleet::test {

/// The links between fake transports, and the losses on them.
struct fake_links {
    using direction = std::pair<core::endpoint, core::endpoint>;

    bool delivers(const core::endpoint& from, const core::endpoint& to)
    {
        return !this->cuts.contains({ from, to })
            && this->random() % 100 >= this->loss_percent;
    }

    /// Directions (from, to) in which messages are lost.
    std::set<direction> cuts;
    unsigned loss_percent = 0;
    std::mt19937_64 random;
    std::map<core::endpoint, class fake_transport*> transports;
};

/// Transport over fake_links. The sender cannot distinguish a lost request from
/// a lost reply.
class fake_transport {
public:
    fake_transport(
        fake_links& links, boost::asio::io_context& context, core::endpoint own)
        : links(links)
        , context(context)
        , own(std::move(own))
    {
        this->links.transports.emplace(this->own, this);
    }

    void serve(message_handler next) { this->handler = std::move(next); }

    boost::asio::awaitable<std::optional<message>> exchange(
        core::endpoint peer, message content, core::error& reason)
    {
        const auto waiting = std::make_shared<pending>(this->context);
        const auto target = this->links.transports.find(peer);
        if (target != this->links.transports.end()
            && this->links.delivers(this->own, peer))
        {
            target->second->has_work = true;
            boost::asio::co_spawn(target->second->context,
                target->second->handler(std::move(content)),
                [this, weak = std::weak_ptr(waiting), peer](
                    std::exception_ptr, message reply) {
                    const auto sender = weak.lock();
                    if (sender && this->links.delivers(peer, this->own))
                    {
                        sender->reply = std::move(reply);
                        sender->timer.cancel();
                        this->has_work = true;
                    }
                });
        }
        boost::system::error_code ignored;
        co_await waiting->timer.async_wait(
            boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
        if (!waiting->reply)
        {
            reason = core::error::make("exchange", peer.str(), "no reply");
        }
        co_return waiting->reply;
    }

    /// True if another daemon posted work to this one's context since the last
    /// call.
    bool take_work() { return std::exchange(this->has_work, false); }

private:
    struct pending {
        explicit pending(boost::asio::io_context& context)
            : timer(
                context, core::runtime_clock::now() + core::milliseconds(500))
        {
        }
        core::runtime_timer timer;
        std::optional<message> reply;
    };

    fake_links& links;
    boost::asio::io_context& context;
    core::endpoint own;
    message_handler handler;
    bool has_work = false;
};

/// Observer and service of a fake daemon.
struct fake_daemon_handlers {
    void on_document(const document& offered)
    {
        auto& last = this->accepted[offered.get_name()];
        this->has_reverted |= offered.get_version() <= last;
        last = offered.get_version();
    }

    boost::asio::awaitable<message> handle(message)
    {
        co_return receipt::failed("not served");
    }

    std::map<core::document_name, core::version_number> accepted;
    bool has_reverted = false;
};

/// Several fleet nodes in one thread on the paused clock. Each has a context of
/// its own, so that one of them can be paused.
class fake_network {
public:
    using fake_node = fleet_node<fake_transport, fake_daemon_handlers,
        fake_daemon_handlers>;

    fake_network(int daemons, std::uint64_t seed)
    {
        core::runtime_clock::pause();
        this->links.random.seed(seed);
        for (int i = 0; i < daemons; ++i)
        {
            this->daemons.push_back(std::make_unique<daemon>(this->links, i));
        }
    }

    ~fake_network() { core::runtime_clock::resume(); }
    fake_network(const fake_network&) = delete;
    fake_network& operator=(const fake_network&) = delete;

    static core::endpoint address_of(int number)
    {
        core::error reason;
        return *core::endpoint::create(
            "10.0.0." + std::to_string(number + 1) + ":7000", reason);
    }

    static core::daemon_id id_of(int number)
    {
        return core::daemon_id("d" + std::to_string(number));
    }

    fake_node& node(int number) { return this->at(number).node; }
    bool has_reverted(int number)
    {
        return this->at(number).handlers.has_reverted;
    }
    void set_paused(int number, bool paused)
    {
        this->at(number).is_paused = paused;
    }
    bool is_paused(int number) { return this->at(number).is_paused; }
    int size() const { return static_cast<int>(this->daemons.size()); }
    fake_links& get_links() { return this->links; }

    /// Runs `task` on a daemon without waiting for it.
    void spawn(int number, boost::asio::awaitable<void> task)
    {
        boost::asio::co_spawn(
            this->at(number).context, std::move(task), boost::asio::detached);
    }

    void run(core::duration span)
    {
        constexpr core::milliseconds step{ 100 };
        for (core::duration passed{}; passed < span; passed += step)
        {
            this->settle();
            core::runtime_clock::advance(step);
            for (const auto& each : this->daemons)
            {
                core::wake_timers(each->context.get_executor());
            }
        }
        this->settle();
    }

    member_state state_seen(int observer, int subject)
    {
        const auto seen = this->node(observer).find_member(id_of(subject));
        return seen ? seen->get_state() : member_state::dead;
    }

private:
    struct daemon {
        daemon(fake_links& links, int number)
            : transport(links, this->context, address_of(number))
            , node(this->context.get_executor(), this->transport,
                  this->handlers, this->handlers, self_of(number),
                  seeds_of(number), static_cast<std::uint64_t>(number))
        {
            this->node.start();
        }

        void poll()
        {
            if (!this->is_paused)
            {
                this->context.poll();
                this->context.restart();
            }
        }

        static member self_of(int number)
        {
            return member::make(id_of(number), address_of(number),
                core::zone_id("z"), core::incarnation_number(1000));
        }

        /// Each daemon has one earlier daemon as its seed, as from its
        /// settings.
        static std::vector<core::endpoint> seeds_of(int number)
        {
            return number == 0 ? std::vector<core::endpoint>()
                               : std::vector{ address_of((number - 1) / 2) };
        }

        fake_daemon_handlers handlers;
        boost::asio::io_context context;
        fake_transport transport;
        fake_node node;
        bool is_paused = false;
    };

    daemon& at(int number)
    {
        return *this->daemons[static_cast<std::size_t>(number)];
    }

    void settle()
    {
        for (const auto& each : this->daemons)
        {
            each->poll();
        }
        // The first poll runs all work that a daemon has by itself; afterwards
        // only messages add work. Polling all daemons again would take most of
        // a run's time.
        bool is_settled = false;
        while (!is_settled)
        {
            is_settled = true;
            for (const auto& each : this->daemons)
            {
                if (!each->is_paused && each->transport.take_work())
                {
                    each->poll();
                    is_settled = false;
                }
            }
        }
    }

    fake_links links;
    std::vector<std::unique_ptr<daemon>> daemons;
};

} // namespace pollenward::fleet::test
