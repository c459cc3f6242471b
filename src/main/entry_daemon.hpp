#pragma once

#include "caller/admission_gate.hpp"
#include "caller/http_server.hpp"
#include "caller/request_pipeline.hpp"
#include "core/runtime_timer.hpp"
#include "core/sharded_snapshot.hpp"
#include "fleet/listed_members.hpp"
#include "fleet/member.hpp"
#include "main/configuration_in_force.hpp"
#include "main/configuration_replica.hpp"
#include "main/entry_limits.hpp"
#include "main/entry_view.hpp"
#include "main/pausing_gate.hpp"
#include "main/replicated_guard.hpp"
#include "main/settings.hpp"
#include "main/stale_daemon_remover.hpp"
#include "main/stop_time.hpp"
#include "main/store_state_synchronizer.hpp"
#include "main/worker_replica.hpp"
#include "main/zone_synchronizer.hpp"
#include "operators/admin_server.hpp"
#include "operators/event.hpp"
#include "operators/metrics.hpp"
#include "platform/listing_watch.hpp"
#include "upstream/placement_state.hpp"
#include "upstream/placing_dispatcher.hpp"
#include "upstream/zone_map.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/strand.hpp>

#include <algorithm>
#include <atomic>
#include <map>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace pollenward::main {

/// Everything that a deployment's platform defines: the message formats of
/// callers and workers, and the store of its configuration, workers and
/// daemons.
template <class Type>
concept deployment = caller::caller_dialect<typename Type::caller_dialect,
                         configuration_in_force>
    && upstream::worker_codec<typename Type::worker_codec>
    && platform::kind_store<typename Type::store, operators::configuration>
    && platform::kind_store<typename Type::store, upstream::listed_worker>
    && requires(typename Type::store& store, const fleet::member& self) {
           {
               store.announce(self)
           } -> std::same_as<boost::asio::awaitable<bool>>;
           {
               store.withdraw(self)
           } -> std::same_as<boost::asio::awaitable<bool>>;
           requires daemon_register<typename Type::store>;
           {
               store.list_daemons()
           } -> std::same_as<
               boost::asio::awaitable<platform::listing<fleet::member>>>;
       };

/// Requests are not claimed: each request id reaches one daemon once, and only
/// this daemon sends it to workers.
class no_claims {
public:
    boost::asio::awaitable<caller::claim_grant> claim(
        const caller::caller_request& /*request*/)
    {
        co_return caller::claim_grant::make(
            caller::claim_status::not_needed, {}, core::runtime_clock::now());
    }

    void settle(const caller::caller_request& /*request*/,
        caller::claim_state /*state*/)
    {
    }
};

/// The daemon for a platform whose store contains all shared state. It reads
/// the configuration, the workers and the other daemons from the store, and
/// exchanges its observations of workers with the daemons of its zone.
template <deployment Platform>
class entry_daemon {
public:
    entry_daemon(boost::asio::io_context& context, settings initial_settings)
        : context(context)
        , initial_settings(std::move(initial_settings))
        , current_settings(this->initial_settings)
        , placement(upstream::zone_map::make(this->initial_settings.get_zone(),
              this->initial_settings.get_zones()))
        , store(this->initial_settings)
        , zone(context,
              fleet::member::make(this->initial_settings.get_id(),
                  this->initial_settings.get_fleet_endpoint(),
                  this->initial_settings.get_zone(),
                  core::incarnation_number(1))
                  .with_capacity(this->initial_settings.get_capacity()),
              this->placement)
        , guard(this->zone)
        , stale_daemons(this->guard, this->store)
        , responses(this->initial_settings.make_response_budget())
        , dispatcher(context.get_executor(), this->placement, this->guard,
              this->initial_settings.get_retry_limits(),
              this->initial_settings.get_placement_costs(),
              { .bodies = this->responses }, this->configuration)
        , limits(this->placement)
        , gate(this->limits)
        , pauses(this->gate, this->placement)
        , upstreams{ *this }
        , requests(this->pauses, this->claims, this->guard, this->upstreams,
              this->metrics)
        , callers(context, this->configuration, this->requests,
              this->initial_settings.make_body_memory(),
              this->initial_settings.get_max_connections())
        , view(this->configuration, this->placement, this->zone, this->metrics,
              this->configurations, this->workers)
        , admin(context, this->view)
        , configurations(this->configuration, this->role)
        , workers(this->placement, this->role,
              this->initial_settings.get_worker_lease())
        , store_state(
              this->zone, this->configurations, this->workers, this->role)
        , configuration_watch(
              this->store, this->configurations, {}, std::random_device()())
        , worker_watch(this->store, this->workers, {}, std::random_device()())
    {
    }

    /// Binds the listeners and starts the control loops. False, with the
    /// reason, if a listener cannot be bound.
    bool start(core::error& reason)
    {
        const auto on_message = [this](fleet::message received) {
            return this->answer(std::move(received));
        };
        if (!this->zone.start(on_message, reason)
            || !this->admin.listen(
                this->initial_settings.get_operator_endpoint(), reason)
            || !this->callers.listen(
                this->initial_settings.get_caller_endpoint(), reason))
        {
            return false;
        }
        this->spawn(this->configuration_watch.run());
        this->spawn(this->worker_watch.run());
        this->spawn(this->store_state.run());
        this->spawn(this->guard.run());
        this->spawn(this->join_fleet());
        this->spawn(this->maintain());
        return true;
    }

    /// Fails the balancer's check, closes each connection after its next
    /// answer, and returns when all requests have ended or the drain limit,
    /// which counts from the signal, is over; then cuts the rest.
    boost::asio::awaitable<void> drain(core::time_point signalled)
    {
        const settings times = this->current_settings.read(
            [](const settings& now) { return now; });
        operators::write(
            operators::event::make("daemon.draining")
                .with("in_flight", this->callers.in_flight())
                .with("late_ms", core::runtime_clock::now() - signalled));
        this->cut_at
            = signalled + times.get_drain_delay() + times.get_drain_limit();
        this->view.begin_drain();
        this->dispatcher.begin_stop();
        this->callers.begin_closing();
        this->spawn(this->leave_fleet());
        co_await core::wait_until(std::min(this->cut_at.load(),
            core::runtime_clock::now() + times.get_drain_delay()));
        this->callers.stop_accepting();
        this->callers.begin_drain();
        this->end_intake();
        const bool is_idle = co_await this->callers.wait_until_idle(std::max(
            this->cut_at.load(), core::runtime_clock::now() + last_read_time));
        if (!is_idle)
        {
            co_await this->end_requests();
        }
        // The sockets of the fleet close with the process: closing them here
        // blocks the loop, and a process that hangs in it is killed.
        operators::write(operators::event::make("daemon.drained"));
    }

    /// Applies the drain times and the retry limits; other settings need a
    /// restart.
    void reload(const settings& next)
    {
        this->current_settings.store(next);
        this->dispatcher.get_allowances().set_limits(next.get_retry_limits());
    }

    void cut()
    {
        const auto requests_cut = this->callers.close_all();
        this->metrics.add("requests_cut", requests_cut);
        operators::write(operators::event::make("daemon.requests_cut")
                             .with("count", requests_cut));
    }

private:
    using guard_type = basic_replicated_guard<zone_synchronizer>;
    using gate_type = caller::admission_gate<entry_limits>;
    using dispatcher_type
        = upstream::placing_dispatcher<typename Platform::worker_codec,
            guard_type, configuration_in_force>;

    /// Counts the slots in use by each dispatch; a caller::dispatcher.
    struct counting_dispatcher {
        entry_daemon& owner;

        boost::asio::awaitable<upstream::dispatch_result> dispatch(
            const upstream::forward_request& request)
        {
            if (this->owner.would_be_cut(request))
            {
                co_return upstream::dispatch_result::failed(
                    upstream::run_certainty::not_run,
                    core::error::make(
                        "send request", "self", "the daemon is stopping"));
            }
            const in_use_counter counter(
                this->owner.limits, request.get_service());
            auto result = co_await this->owner.dispatcher.dispatch(request);
            if (result.is_success())
            {
                this->owner.guard.on_success(request);
            }
            co_return result;
        }
    };

    class in_use_counter {
    public:
        in_use_counter(entry_limits& limits, core::service_id service)
            : limits(limits)
            , service(std::move(service))
        {
            this->limits.add_in_use(this->service, 1);
        }
        in_use_counter(const in_use_counter&) = delete;
        in_use_counter& operator=(const in_use_counter&) = delete;
        ~in_use_counter() { this->limits.add_in_use(this->service, -1); }

    private:
        entry_limits& limits;
        core::service_id service;
    };

    using pipeline_type = caller::request_pipeline<pausing_gate<gate_type>,
        no_claims, guard_type, counting_dispatcher, operators::metrics>;

    void spawn(boost::asio::awaitable<void> task)
    {
        boost::asio::co_spawn(boost::asio::make_strand(this->context),
            std::move(task), boost::asio::detached);
    }

    /// Whether the daemon ends too soon for the request, which may have waited
    /// for capacity since the drain began.
    bool would_be_cut(const upstream::forward_request& request) const
    {
        // Share of the answers that may take longer than the time left.
        constexpr double max_share_cut = 0.1;
        const auto left = this->cut_at.load() - core::runtime_clock::now();
        return this->view.is_draining()
            && this->placement.profile(request.get_service()).survival(left)
            > max_share_cut;
    }

    /// Stops reading configurations and workers, which no further request
    /// needs. On a host with little processor time, a large configuration takes
    /// longer than the rest of the drain.
    void end_intake()
    {
        this->has_ended_intake = true;
        this->configuration_watch.stop();
        this->worker_watch.stop();
        this->store_state.stop();
        this->guard.stop();
    }

    /// Answers the remaining requests before the platform ends the process: a
    /// caller can use the outcome "unknown" better than a broken connection.
    boost::asio::awaitable<void> end_requests()
    {
        // An answer takes a millisecond, on a host with little processor time
        // more; the process has 400 ms left at least.
        constexpr core::milliseconds answer_time{ 250 };
        const auto now = core::runtime_clock::now();
        operators::write(operators::event::make("daemon.ending_requests")
                             .with("count", this->callers.in_flight()));
        this->gate.close();
        this->dispatcher.end_by(now);
        if (!co_await this->callers.wait_until_idle(now + answer_time))
        {
            this->cut();
        }
    }

    boost::asio::awaitable<fleet::message> answer(fleet::message received)
    {
        if (this->has_ended_intake)
        {
            co_return fleet::message(
                fleet::receipt::failed("the daemon is stopping"));
        }
        if (const auto* state = std::get_if<fleet::store_state>(&received))
        {
            co_return fleet::message(this->store_state.answer(*state));
        }
        if (const auto* request
            = std::get_if<operators::configuration_request>(&received))
        {
            co_return fleet::message(this->store_state.answer(*request));
        }
        if (auto* offer = std::get_if<fleet::configuration_offer>(&received))
        {
            this->spawn(this->store_state.accept(std::move(*offer)));
            co_return fleet::message(fleet::receipt::accepted());
        }
        const auto* notice = std::get_if<fleet::crash_notice>(&received);
        if (notice == nullptr)
        {
            co_return fleet::message(
                fleet::receipt::failed("not a request of this daemon"));
        }
        co_return fleet::message(this->guard.on_notice(*notice));
    }

    /// Registers this daemon in the store and polls the list of daemons.
    boost::asio::awaitable<void> join_fleet()
    {
        // At startup all daemons register within a second or two.
        constexpr core::milliseconds first_pause{ 700 };
        constexpr core::milliseconds longest_pause{ 4000 };
        core::milliseconds pause = first_pause;
        bool is_announced = false;
        while (!this->view.is_draining())
        {
            is_announced = is_announced
                || co_await this->store.announce(this->zone.self());
            const auto listed = co_await this->store.list_daemons();
            if (listed.get_status() == platform::listing_status::complete)
            {
                is_announced = this->store_members(listed) && is_announced;
                co_await this->stale_daemons.check(this->zone.self(), listed);
            }
            co_await core::wait_until(core::runtime_clock::now() + pause);
            pause = std::min(pause * 2, longest_pause);
        }
    }

    /// Stores the listed daemons. False if the entry of this daemon is not
    /// among them.
    bool store_members(const platform::listing<fleet::member>& listed)
    {
        std::vector<fleet::member> present;
        for (const auto& each : listed.get_objects())
        {
            if (each.get_value())
            {
                present.push_back(*each.get_value());
            }
        }
        const bool is_listed = fleet::has_entry_of(present, this->zone.self());
        auto members = this->listed_daemons.store(std::move(present),
            listed.get_revision().get_era(), core::runtime_clock::now());
        this->dispatcher.get_allowances().set_daemons(
            static_cast<double>(members.size()));
        std::map<core::zone_id, std::vector<core::daemon_id>> by_zone;
        for (const fleet::member& each : members)
        {
            by_zone[each.get_zone()].push_back(each.get_id());
        }
        this->placement.store_daemons(
            this->initial_settings.get_id(), std::move(by_zone));
        this->zone.set_members(std::move(members));
        return is_listed;
    }

    boost::asio::awaitable<void> leave_fleet()
    {
        const bool is_gone = co_await this->store.withdraw(this->zone.self());
        if (!is_gone)
        {
            operators::write(operators::event::make("fleet.withdraw_failed"));
        }
    }

    boost::asio::awaitable<void> maintain()
    {
        constexpr core::milliseconds interval{ 500 };
        while (true)
        {
            co_await core::wait_until(
                this->next_maintenance(core::runtime_clock::now(), interval));
            const auto now = core::runtime_clock::now();
            this->workers.expire();
            this->dispatcher.get_connections().close_expired(now);
            this->guard.get_guard().expire(now);
            for (const auto& each : this->configuration.get_services())
            {
                this->gate.admit_waiting(each.get_id());
            }
        }
    }

    /// After `interval`, or earlier if expired workers must be removed.
    core::time_point next_maintenance(
        core::time_point now, core::milliseconds interval)
    {
        const auto expiry = this->workers.get_expiry();
        const auto latest = now + interval;
        return expiry > now ? std::min(expiry, latest) : latest;
    }

    boost::asio::io_context& context;
    /// When the requests that still run are cut.
    std::atomic<core::time_point> cut_at{ core::time_point::max() };
    /// Set by end_intake(); requests of other daemons are refused then.
    std::atomic<bool> has_ended_intake{ false };
    settings initial_settings;
    /// What reload() may replace.
    core::sharded_snapshot<settings> current_settings;
    operators::metrics metrics;
    configuration_in_force configuration;
    upstream::placement_state placement;
    typename Platform::store store;
    zone_synchronizer zone;
    guard_type guard;
    stale_daemon_remover<guard_type, typename Platform::store> stale_daemons;
    core::memory_budget responses;
    dispatcher_type dispatcher;
    entry_limits limits;
    gate_type gate;
    pausing_gate<gate_type> pauses;
    no_claims claims;
    counting_dispatcher upstreams;
    pipeline_type requests;
    caller::http_server<configuration_in_force, pipeline_type,
        typename Platform::caller_dialect>
        callers;
    entry_view view;
    operators::admin_server<entry_view> admin;
    /// Used by join_fleet() only.
    fleet::listed_members listed_daemons;
    store_reader_role role;
    configuration_replica configurations;
    worker_replica workers;
    store_state_synchronizer store_state;
    platform::listing_watch<operators::configuration, typename Platform::store,
        configuration_replica>
        configuration_watch;
    platform::listing_watch<upstream::listed_worker, typename Platform::store,
        worker_replica>
        worker_watch;
};

} // namespace pollenward::main
