#include "main/zone_synchronizer.hpp"

#include "core/runtime_timer.hpp"
#include "operators/event.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/strand.hpp>

#include <algorithm>
#include <utility>
#include <variant>

namespace pollenward::main {

namespace asio = boost::asio;

zone_synchronizer::zone_synchronizer(asio::io_context& context,
    fleet::member self, upstream::placement_state& placement,
    zone_sync_times times)
    : context(context)
    , identity(std::move(self))
    , placement(placement)
    , times(times)
    , transport(context.get_executor(), times.exchange)
    , fleet_members({})
{
}

bool zone_synchronizer::start(
    fleet::message_handler other_handler, core::error& reason)
{
    if (!this->transport.listen(this->identity.get_address(), reason))
    {
        return false;
    }
    this->other_handler = std::move(other_handler);
    this->transport.serve([this](fleet::message received) {
        return this->answer(std::move(received));
    });
    asio::co_spawn(asio::make_strand(this->context),
        this->report_periodically(), asio::detached);
    return true;
}

void zone_synchronizer::stop()
{
    this->stopped = true;
    this->transport.close();
}

void zone_synchronizer::set_members(std::vector<fleet::member> changed)
{
    std::sort(changed.begin(), changed.end());
    this->fleet_members.store(std::move(changed));
}

std::vector<fleet::member> zone_synchronizer::members() const
{
    return this->fleet_members.read([](const auto& all) { return all; });
}

std::vector<fleet::zone_daemon> zone_synchronizer::live_daemons() const
{
    std::vector<fleet::zone_daemon> live;
    for (const fleet::member& each : this->members())
    {
        live.push_back(
            fleet::zone_daemon::make(each.get_id(), each.get_zone()));
    }
    return live;
}

std::optional<fleet::member> zone_synchronizer::find(
    const core::daemon_id& id) const
{
    for (const fleet::member& each : this->members())
    {
        if (each.get_id() == id)
        {
            return each;
        }
    }
    return std::nullopt;
}

void zone_synchronizer::send(
    const core::daemon_id& peer, fleet::message content)
{
    asio::co_spawn(
        this->context,
        [](zone_synchronizer& self, core::daemon_id to,
            fleet::message sent) -> asio::awaitable<void> {
            core::error reason;
            const auto reply = co_await self.exchange(
                std::move(to), std::move(sent), reason);
            if (!reply)
            {
                operators::write(operators::event::make("fleet.tell_failed")
                                     .with("cause", reason));
            }
        }(*this, peer, std::move(content)),
        asio::detached);
}

asio::awaitable<std::optional<fleet::message>> zone_synchronizer::exchange(
    core::daemon_id peer, fleet::message content, core::error& reason)
{
    const auto to = this->find(peer);
    if (!to)
    {
        reason = core::error::make(
            "exchange with daemon", peer.str(), "is not listed");
        co_return std::nullopt;
    }
    core::endpoint address = to->get_address();
    auto reply = co_await this->transport.exchange(
        std::move(address), std::move(content), reason);
    co_return reply;
}

std::vector<fleet::member> zone_synchronizer::aggregators(
    std::size_t count, core::time_point now) const
{
    std::vector<fleet::member> candidates;
    for (const fleet::member& each : this->members())
    {
        const auto until = this->avoided_until.find(each.get_id());
        if (each.get_zone() == this->identity.get_zone()
            && (!until || now >= *until))
        {
            candidates.push_back(each);
        }
    }
    return fleet::select_zone_aggregators(
        this->identity.get_zone(), std::move(candidates), count);
}

void zone_synchronizer::avoid_aggregator(
    const core::daemon_id& aggregator, const core::error& reason)
{
    operators::write(operators::event::make("zone.home_lost")
                         .with("home", aggregator)
                         .with("cause", reason));
    this->avoided_until.store(aggregator,
        core::runtime_clock::now() + this->times.aggregator_retry_delay);
}

fleet::zone_report zone_synchronizer::make_report(core::time_point now)
{
    std::vector<fleet::worker_summary> workers;
    for (const auto& [worker, traffic] : this->placement.own_traffic(now))
    {
        workers.push_back(fleet::worker_summary::of(worker, traffic, now));
    }
    std::vector<fleet::service_latencies> latencies;
    for (const auto& [service, sums] : this->placement.take_latencies())
    {
        latencies.push_back(fleet::service_latencies::make(service, sums));
    }
    return fleet::zone_report::make(
        this->identity.get_id(), std::move(workers), std::move(latencies));
}

void zone_synchronizer::store_view(
    const fleet::zone_view& view, core::time_point now)
{
    std::vector<upstream::named_traffic> traffic;
    for (const fleet::worker_summary& each : view.get_workers())
    {
        traffic.emplace_back(each.get_worker(), each.to_traffic(now));
    }
    this->placement.store_zone_traffic(std::move(traffic));
    std::vector<upstream::named_latencies> latencies;
    for (const fleet::service_latencies& each : view.get_latencies())
    {
        latencies.emplace_back(each.get_service(), each.get_sums());
    }
    this->placement.store_zone_latencies(latencies);
}

asio::awaitable<void> zone_synchronizer::report()
{
    auto now = core::runtime_clock::now();
    auto report = this->make_report(now);
    const auto selected = this->aggregators(1, now);
    if (selected.empty()
        || selected.front().get_id() == this->identity.get_id())
    {
        this->store_view(this->aggregator.on_report(report, now), now);
        co_return;
    }
    fleet::message sent(std::move(report));
    const auto view = co_await this->exchange<fleet::zone_view>(
        selected.front(), std::move(sent));
    if (view)
    {
        this->store_view(*view, core::runtime_clock::now());
    }
}

asio::awaitable<void> zone_synchronizer::report_periodically()
{
    auto last = core::runtime_clock::now();
    while (!this->stopped)
    {
        co_await core::wait_until(
            core::runtime_clock::now() + this->times.report);
        const auto now = core::runtime_clock::now();
        const bool is_due = now - last >= this->times.idle_report;
        if (this->stopped
            || (!is_due && !this->placement.test_and_clear_activity()))
        {
            continue;
        }
        last = now;
        co_await this->report();
    }
}

asio::awaitable<fleet::message> zone_synchronizer::answer(
    fleet::message received)
{
    const auto* report = std::get_if<fleet::zone_report>(&received);
    if (report == nullptr)
    {
        co_return co_await this->other_handler(std::move(received));
    }
    co_return fleet::message(
        this->aggregator.on_report(*report, core::runtime_clock::now()));
}

} // namespace pollenward::main
