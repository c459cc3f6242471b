#include "main/daemon.hpp"

#include "core/runtime_timer.hpp"
#include "operators/configuration_json.hpp"
#include "platform/host_list_json.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <easylogging++.h>

#include <utility>
#include <vector>

namespace pollenward::main {

namespace asio = boost::asio;

namespace {

    constexpr core::milliseconds refresh_interval{ 1000 };

} // namespace

routes_in_force::routes_in_force()
    : table(caller::route_table())
    , longest(core::milliseconds(1))
{
}

std::optional<operators::kind_settings> routes_in_force::find(
    std::string_view method, std::string_view path) const
{
    return this->table.read([&](const caller::route_table& routes) {
        return routes.find(method, path);
    });
}

core::milliseconds routes_in_force::max_timeout() const
{
    return this->longest.read([](core::milliseconds value) { return value; });
}

void routes_in_force::store(const operators::configuration& configuration)
{
    this->longest.store(configuration.get_max_timeout());
    this->table.store(caller::route_table::make(configuration));
}

daemon::daemon(asio::io_context& context, settings chosen)
    : context(context)
    , chosen(std::move(chosen))
    , store(this->chosen.get_platform_endpoint())
    , in_force(std::nullopt)
    , upstreams(this->workers)
    , requests(this->upstreams)
    , callers(context, this->routes, this->requests)
{
}

bool daemon::start(core::error& reason)
{
    if (!this->callers.listen(this->chosen.get_caller_endpoint(), reason))
    {
        return false;
    }
    asio::co_spawn(this->context, this->refresh_all(), asio::detached);
    return true;
}

asio::awaitable<void> daemon::refresh_all()
{
    while (true)
    {
        co_await this->refresh_configuration();
        const auto services = this->in_force.read(
            [](const std::optional<operators::configuration>& present) {
                return present ? present->get_services()
                               : std::vector<operators::service_settings>{};
            });
        for (const auto& service : services)
        {
            co_await this->refresh_workers(service.get_id());
        }
        co_await core::wait_until(
            core::runtime_clock::now() + refresh_interval);
    }
}

asio::awaitable<void> daemon::refresh_configuration()
{
    const auto read
        = co_await this->store.get(core::document_name("configuration"));
    const auto& object = read.get_object();
    if (!object)
    {
        co_return;
    }
    std::vector<core::error> faults;
    auto next = operators::decode_configuration(object->get_value(), faults);
    const auto present = this->in_force.read(
        [](const std::optional<operators::configuration>& value) {
            return value ? value->get_number() : core::version_number(0);
        });
    if (next && next->get_number() > present)
    {
        LOG(INFO) << "configuration " << next->get_number() << " in force";
        this->routes.store(*next);
        this->in_force.store(std::move(next));
    }
}

asio::awaitable<void> daemon::refresh_workers(core::service_id service)
{
    const auto read = co_await this->store.get(
        core::document_name("hosts/" + service.str()));
    const auto& object = read.get_object();
    if (!object)
    {
        co_return;
    }
    core::error reason;
    const auto rows = platform::decode_host_list(object->get_value(), reason);
    if (!rows)
    {
        co_return;
    }
    std::vector<upstream::worker> listed;
    for (const platform::host_entry& row : *rows)
    {
        listed.push_back(upstream::worker::make(core::worker_id(row.get_id()),
            row.get_address(), row.get_zone(), row.is_leaving()));
    }
    this->workers.store(service, std::move(listed));
}

} // namespace pollenward::main
