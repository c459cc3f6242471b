#pragma once

#include "caller/http_server.hpp"
#include "caller/request_flow.hpp"
#include "caller/route_table.hpp"
#include "core/sharded_snapshot.hpp"
#include "main/settings.hpp"
#include "operators/configuration.hpp"
#include "platform/object_client.hpp"
#include "upstream/dispatcher.hpp"
#include "upstream/worker_directory.hpp"

#include <boost/asio/io_context.hpp>

#include <optional>
#include <string_view>

namespace pollenward::main {

/// The routes of the configuration in force.
class routes_in_force {
public:
    routes_in_force();

    std::optional<operators::kind_settings> find(
        std::string_view method, std::string_view path) const;
    core::milliseconds max_timeout() const;
    void store(const operators::configuration& configuration);

private:
    core::sharded_snapshot<caller::route_table> table;
    core::sharded_snapshot<core::milliseconds> longest;
};

/// Takes the place of admission, claims, guard and recorder until they are
/// connected: admits each request and records nothing.
class open_gate {
public:
    boost::asio::awaitable<caller::admission_decision> admit(
        const caller::caller_request& request)
    {
        co_return caller::admission_decision::admitted(
            caller::admission_ticket::make(0, request.get_kind().get_rank(),
                request.get_account(), request.get_deadline()));
    }

    void finish(const core::service_id&, const caller::admission_ticket&,
        std::optional<core::duration>)
    {
    }

    boost::asio::awaitable<caller::claim_grant> claim(
        const caller::caller_request&)
    {
        co_return caller::claim_grant::make(
            caller::claim_status::not_needed, {}, core::runtime_clock::now());
    }

    void settle(const caller::caller_request&, caller::claim_state) { }
    bool is_blocked(const caller::caller_request&) { return false; }

    void record(core::rank, const core::account_id&, caller::outcome_kind,
        core::duration)
    {
    }
};

/// All parts of the daemon, connected.
class daemon {
public:
    daemon(boost::asio::io_context& context, settings chosen);

    /// Binds the listeners and starts the control loops. False, with the
    /// reason, if a listener cannot be bound.
    bool start(core::error& reason);

private:
    using flow = caller::request_flow<open_gate, open_gate, open_gate,
        upstream::dispatcher, open_gate>;

    boost::asio::awaitable<void> refresh_all();
    boost::asio::awaitable<void> refresh_configuration();
    boost::asio::awaitable<void> refresh_workers(core::service_id service);

    boost::asio::io_context& context;
    settings chosen;
    platform::object_client store;
    core::sharded_snapshot<std::optional<operators::configuration>> in_force;
    routes_in_force routes;
    upstream::worker_directory workers;
    upstream::dispatcher upstreams;
    open_gate gate;
    flow requests;
    caller::http_server<routes_in_force, flow> callers;
};

} // namespace pollenward::main
