#pragma once

#include "caller/http_server.hpp"
#include "caller/request_flow.hpp"
#include "caller/route_table.hpp"
#include "core/sharded_snapshot.hpp"
#include "main/settings.hpp"
#include "operators/configuration.hpp"
#include "platform/object_client.hpp"
#include "upstream/dispatcher.hpp"
#include "upstream/listed_standings.hpp"
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

/// All parts of the daemon, connected.
class daemon {
public:
    daemon(boost::asio::io_context& context, settings chosen);

    /// Binds the listeners and starts the control loops. False, with the
    /// reason, if a listener cannot be bound.
    bool start(core::error& reason);

private:
    using dispatcher = upstream::dispatcher<upstream::listed_standings,
        upstream::no_observer, upstream::no_observer>;
    using flow = caller::request_flow<dispatcher>;

    boost::asio::awaitable<void> refresh_all();
    boost::asio::awaitable<void> refresh_configuration();
    boost::asio::awaitable<void> refresh_workers(core::service_id service);

    boost::asio::io_context& context;
    settings chosen;
    platform::object_client store;
    core::sharded_snapshot<std::optional<operators::configuration>> in_force;
    routes_in_force routes;
    upstream::worker_directory workers;
    upstream::listed_standings standings;
    upstream::no_observer unobserved;
    dispatcher upstreams;
    flow requests;
    caller::http_server<routes_in_force, flow> callers;
};

} // namespace pollenward::main
