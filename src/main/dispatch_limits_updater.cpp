#include "main/dispatch_limits_updater.hpp"

#include "core/runtime_timer.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <utility>

namespace pollenward::main {

namespace asio = boost::asio;

namespace {

    constexpr core::milliseconds refresh_interval{ 500 };

} // namespace

void dispatch_limits_updater::start()
{
    asio::co_spawn(this->context, this->run(), asio::detached);
}

asio::awaitable<void> dispatch_limits_updater::run()
{
    while (!this->stopped)
    {
        this->refresh_services();
        co_await core::wait_until(
            core::runtime_clock::now() + refresh_interval);
    }
}

void dispatch_limits_updater::refresh_services()
{
    std::vector<upstream::subset_daemon> daemons;
    for (const fleet::zone_daemon& each : this->fleet.live_daemons())
    {
        daemons.push_back(
            upstream::subset_daemon::make(each.get_daemon(), each.get_zone()));
    }
    bool has_changed = false;
    for (const auto& service : this->configuration.get_services())
    {
        const bool is_new = this->refresh(service, daemons);
        has_changed = has_changed || is_new;
    }
    if (!has_changed)
    {
        return;
    }
    this->erase_unlisted_workers();
    std::vector<upstream::worker> all;
    for (const auto& [service, workers] : this->used_by_service)
    {
        all.insert(all.end(), workers.begin(), workers.end());
    }
    this->used.store(std::move(all));
}

void dispatch_limits_updater::erase_unlisted_workers()
{
    std::vector<core::worker_id> listed;
    for (const auto& [service, present] : this->last_inputs)
    {
        for (const upstream::worker& each : present.workers)
        {
            listed.push_back(each.get_id());
        }
    }
    this->dispatcher.get_state().erase_unlisted(listed);
}

bool dispatch_limits_updater::refresh(
    const operators::service_settings& service,
    const std::vector<upstream::subset_daemon>& daemons)
{
    const auto& id = service.get_id();
    inputs present{ daemons, this->workers.find(id), service };
    const auto last = this->last_inputs.find(id);
    if (last != this->last_inputs.end() && last->second == present)
    {
        return false;
    }
    const auto slots = service.get_slots_per_worker();
    const core::slot_count all_slots(
        slots.get() * static_cast<std::int64_t>(present.workers.size()));
    auto subset = upstream::find_subset(this->fleet.self().get_id(), daemons,
        present.workers, service.get_connections_per_worker());
    auto& used = this->used_by_service[id];
    used.clear();
    for (const upstream::worker& each : present.workers)
    {
        if (subset.contains(each.get_id()))
        {
            used.push_back(each);
        }
    }
    this->dispatcher.get_state().store_limits(id,
        upstream::service_dispatch_limits::make(slots, all_slots,
            static_cast<std::int64_t>(daemons.size()), std::move(subset)));
    this->last_inputs.insert_or_assign(id, std::move(present));
    return true;
}

} // namespace pollenward::main
