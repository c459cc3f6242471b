#include "main/fleet_network.hpp"

#include "fleet/fleet_node.hpp"
#include "main/document_applier.hpp"
#include "main/message_router.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <random>
#include <utility>

namespace pollenward::main {

namespace asio = boost::asio;

struct fleet_network::joined_node {
    joined_node(fleet_network& network, document_applier& documents,
        message_router& router, const std::vector<core::endpoint>& seeds)
        : node(network.context.get_executor(), network.transport, documents,
            router, network.identity, seeds, std::random_device()())
    {
    }

    fleet::fleet_node<fleet::nng_transport, document_applier, message_router>
        node;
};

fleet_network::fleet_network(asio::io_context& context,
    const settings& own_settings, core::incarnation_number incarnation)
    : context(context)
    , listener(own_settings.get_fleet_endpoint())
    , identity(fleet::member::make(own_settings.get_id(),
          own_settings.get_advertised_endpoint(), own_settings.get_zone(),
          incarnation))
    , transport(context.get_executor())
{
}

fleet_network::~fleet_network() = default;

bool fleet_network::start(document_applier& documents, message_router& router,
    const std::vector<core::endpoint>& seeds, core::error& reason)
{
    if (!this->transport.listen(this->listener, reason))
    {
        return false;
    }
    this->joined
        = std::make_unique<joined_node>(*this, documents, router, seeds);
    this->joined->node.start();
    return true;
}

void fleet_network::stop()
{
    if (this->joined)
    {
        this->joined->node.stop();
    }
    this->transport.close();
}

asio::awaitable<std::optional<fleet::message>> fleet_network::exchange(
    core::daemon_id peer, fleet::message content, core::error& reason)
{
    return this->joined->node.exchange(
        std::move(peer), std::move(content), reason);
}

void fleet_network::send(const core::daemon_id& peer, fleet::message content)
{
    asio::co_spawn(
        this->context,
        [](fleet_network& self, core::daemon_id to,
            fleet::message sent) -> asio::awaitable<void> {
            core::error ignored;
            co_await self.exchange(std::move(to), std::move(sent), ignored);
        }(*this, peer, std::move(content)),
        asio::detached);
}

asio::awaitable<void> fleet_network::leave()
{
    return this->joined->node.leave();
}

fleet::member fleet_network::self() const
{
    return this->joined ? this->joined->node.self() : this->identity;
}

std::vector<fleet::member> fleet_network::members() const
{
    return this->joined ? this->joined->node.members()
                        : std::vector<fleet::member>{ this->identity };
}

std::vector<fleet::zone_daemon> fleet_network::live_daemons() const
{
    std::vector<fleet::zone_daemon> live;
    for (const fleet::member& each : this->members())
    {
        if (each.is_live())
        {
            live.push_back(
                fleet::zone_daemon::make(each.get_id(), each.get_zone()));
        }
    }
    return live;
}

std::optional<core::time_point> fleet_network::last_exchange(
    const core::daemon_id& id) const
{
    return this->joined ? this->joined->node.last_exchange(id) : std::nullopt;
}

fleet::document_order fleet_network::publish(fleet::document offered)
{
    return this->joined->node.publish(std::move(offered));
}

std::shared_ptr<const fleet::document> fleet_network::find(
    const core::document_name& name) const
{
    return this->joined ? this->joined->node.find(name) : nullptr;
}

std::uint64_t fleet_network::count_conflicts() const
{
    return this->joined ? this->joined->node.count_conflicts() : 0;
}

void fleet_network::set_hosts(const std::vector<platform::host_entry>& hosts)
{
    if (this->joined)
    {
        this->joined->node.set_hosts(hosts);
    }
}

void fleet_network::set_version_in_force(core::version_number version)
{
    if (this->joined)
    {
        this->joined->node.set_version_in_force(version);
    }
}

} // namespace pollenward::main
