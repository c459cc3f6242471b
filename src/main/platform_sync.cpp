#include "main/platform_sync.hpp"

#include "fleet/watcher.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <easylogging++.h>

#include <random>

namespace pollenward::main {

namespace asio = boost::asio;

namespace {

    constexpr core::milliseconds role_interval{ 1000 };

} // namespace

platform_sync::platform_sync(asio::io_context& context,
    platform::object_client& store, document_publisher& publisher,
    const fleet_network& fleet)
    : context(context)
    , fleet(fleet)
    , watch(context, store, publisher, std::random_device()())
{
}

void platform_sync::start()
{
    asio::co_spawn(this->context, this->choose_role(), asio::detached);
}

void platform_sync::stop()
{
    this->stopped = true;
    this->watch.stop();
}

asio::awaitable<void> platform_sync::choose_role()
{
    while (!this->stopped)
    {
        const bool is_watcher
            = fleet::is_watcher(this->fleet.self(), this->fleet.members());
        if (is_watcher && !this->watch.is_watching())
        {
            LOG(INFO) << "platform watch is starting";
            this->watch.start();
        }
        else if (!is_watcher && this->watch.is_watching())
        {
            LOG(INFO) << "platform watch is stopping";
            this->watch.stop();
        }
        co_await core::wait_until(core::runtime_clock::now() + role_interval);
    }
}

} // namespace pollenward::main
