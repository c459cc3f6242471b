#include "main/fleet_port.hpp"

#include "fleet/fleet_node.hpp"
#include "main/document_applier.hpp"
#include "main/message_router.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <random>
#include <utility>

namespace pollenward::main {

namespace asio = boost::asio;

struct fleet_port::joined_node {
    joined_node(fleet_port& port, document_applier& board,
        message_router& router, const std::vector<core::endpoint>& seeds)
        : node(port.context.get_executor(), port.transport, board, router,
            port.identity, seeds, std::random_device()())
    {
    }

    fleet::fleet_node<fleet::nng_transport, document_applier, message_router>
        node;
};

fleet_port::fleet_port(asio::io_context& context, const settings& chosen,
    core::incarnation_number incarnation)
    : context(context)
    , listener(chosen.get_fleet_endpoint())
    , identity(fleet::member::make(chosen.get_id(),
          chosen.get_advertised_endpoint(), chosen.get_zone(), incarnation))
    , transport(context.get_executor())
{
}

fleet_port::~fleet_port() = default;

bool fleet_port::start(document_applier& board, message_router& router,
    const std::vector<core::endpoint>& seeds, core::error& reason)
{
    if (!this->transport.listen(this->listener, reason))
    {
        return false;
    }
    this->joined = std::make_unique<joined_node>(*this, board, router, seeds);
    this->joined->node.start();
    return true;
}

void fleet_port::stop()
{
    if (this->joined)
    {
        this->joined->node.stop();
    }
    this->transport.close();
}

asio::awaitable<std::optional<fleet::message>> fleet_port::exchange(
    core::daemon_id peer, fleet::message content, core::error& reason)
{
    return this->joined->node.exchange(
        std::move(peer), std::move(content), reason);
}

void fleet_port::tell(const core::daemon_id& peer, fleet::message content)
{
    asio::co_spawn(
        this->context,
        [](fleet_port& self, core::daemon_id to,
            fleet::message sent) -> asio::awaitable<void> {
            core::error ignored;
            co_await self.exchange(std::move(to), std::move(sent), ignored);
        }(*this, peer, std::move(content)),
        asio::detached);
}

asio::awaitable<void> fleet_port::leave()
{
    return this->joined->node.leave();
}

fleet::member fleet_port::self() const
{
    return this->joined ? this->joined->node.self() : this->identity;
}

std::vector<fleet::member> fleet_port::members() const
{
    return this->joined ? this->joined->node.members()
                        : std::vector<fleet::member>{ this->identity };
}

std::vector<fleet::zone_daemon> fleet_port::live_daemons() const
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

std::optional<core::time_point> fleet_port::last_heard(
    const core::daemon_id& id) const
{
    return this->joined ? this->joined->node.last_exchange(id) : std::nullopt;
}

fleet::document_order fleet_port::publish(fleet::document offered)
{
    return this->joined->node.publish(std::move(offered));
}

std::shared_ptr<const fleet::document> fleet_port::find(
    const core::document_name& name) const
{
    return this->joined ? this->joined->node.find(name) : nullptr;
}

std::uint64_t fleet_port::count_conflicts() const
{
    return this->joined ? this->joined->node.count_conflicts() : 0;
}

void fleet_port::set_hosts(const std::vector<platform::host_entry>& hosts)
{
    if (this->joined)
    {
        this->joined->node.set_hosts(hosts);
    }
}

void fleet_port::set_version_in_force(core::version_number version)
{
    if (this->joined)
    {
        this->joined->node.set_version_in_force(version);
    }
}

} // namespace pollenward::main
