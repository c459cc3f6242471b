#include "main/store_state_synchronizer.hpp"

#include "core/runtime_timer.hpp"
#include "operators/event.hpp"

#include <algorithm>
#include <utility>

namespace pollenward::main {

namespace asio = boost::asio;

namespace {

    /// Returns `own` with the changes of workers that the peer lacks.
    fleet::store_state add_missing_workers(const fleet::store_state& peer,
        const fleet::store_state& own, const worker_replica& workers)
    {
        auto changes = workers.changes_since(peer.get_workers().get_revision(),
            own.get_workers().get_revision());
        return changes ? own.with_changes(std::move(*changes)) : own;
    }

} // namespace

// Positions are read before the content that they describe: a change in between
// is then sent twice, and never omitted. Content of a later era is not sent
// with them.

fleet::store_state store_state_synchronizer::own_state(
    core::time_point now) const
{
    const auto configuration = this->configuration.own_position(now);
    const auto workers = this->workers.own_position(now);
    return fleet::store_state::make(
        this->configuration.number(), configuration, workers);
}

fleet::store_state store_state_synchronizer::zone_state(
    core::time_point now) const
{
    const auto configuration = this->configuration.position(now);
    const auto workers = this->workers.position(now);
    return fleet::store_state::make(
        this->configuration.number(), configuration, workers);
}

void store_state_synchronizer::merge(
    const fleet::store_state& received, core::time_point now)
{
    this->configuration.merge(received, now);
    this->workers.merge(received, now);
}

fleet::store_state store_state_synchronizer::answer(
    const fleet::store_state& received)
{
    const auto now = core::runtime_clock::now();
    this->merge(received, now);
    return add_missing_workers(received, this->zone_state(now), this->workers);
}

operators::configuration_part store_state_synchronizer::answer(
    const operators::configuration_request& received) const
{
    return this->configuration.part_after(received);
}

asio::awaitable<void> store_state_synchronizer::accept(
    fleet::configuration_offer offer)
{
    const auto sender = this->zone.find(offer.get_sender());
    if (sender && offer.get_number() > this->configuration.number())
    {
        co_await this->fetch_configuration(*sender);
    }
}

asio::awaitable<bool> store_state_synchronizer::fetch_configuration(
    fleet::member sender)
{
    if (this->is_fetching.exchange(true))
    {
        co_return false;
    }
    auto assembly = operators::configuration_assembly::make(
        this->configuration.in_force());
    bool has_progress = true;
    while (has_progress && !assembly.is_complete())
    {
        fleet::message request(assembly.get_next());
        const auto part
            = co_await this->zone.exchange<operators::configuration_part>(
                sender, std::move(request));
        // A sender that was restarted has no configuration yet.
        has_progress
            = part && (part->get_general() || !part->get_entries().empty());
        if (has_progress)
        {
            assembly.add(*part);
        }
    }
    if (assembly.is_complete())
    {
        this->install(assembly, sender);
    }
    else
    {
        operators::write(
            operators::event::make("configuration.transfer_failed")
                .with("sender", sender.get_id())
                .with("own_number", this->configuration.number().get()));
    }
    this->is_fetching = false;
    co_return assembly.is_complete();
}

void store_state_synchronizer::install(
    const operators::configuration_assembly& assembly,
    const fleet::member& sender)
{
    std::vector<core::error> reasons;
    const auto received = assembly.finish(reasons);
    if (received)
    {
        this->configuration.on_transfer(*received);
        return;
    }
    operators::write(operators::event::make("configuration.unreadable")
                         .with("sender", sender.get_id())
                         .with("cause", reasons.front()));
}

asio::awaitable<void> store_state_synchronizer::offer_configuration(
    fleet::member aggregator)
{
    fleet::message offer(fleet::configuration_offer::make(
        this->zone.self().get_id(), this->configuration.number()));
    co_await this->zone.exchange<fleet::receipt>(
        std::move(aggregator), std::move(offer));
}

bool store_state_synchronizer::is_ahead_of_aggregator() const
{
    return this->configuration.number()
        > this->aggregator_state.get_configuration_number()
        || this->workers.last_changed_revision()
        > this->aggregator_state.get_workers().get_revision();
}

asio::awaitable<bool> store_state_synchronizer::exchange()
{
    const auto started_at = core::runtime_clock::now();
    const auto aggregators = this->zone.aggregators(reader_count, started_at);
    const core::daemon_id self = this->zone.self().get_id();
    this->role.set_reader(aggregators.empty()
        || std::any_of(aggregators.begin(), aggregators.end(),
            [&](const fleet::member& each) { return each.get_id() == self; }));
    auto own = this->own_state(started_at);
    if (aggregators.empty() || aggregators.front().get_id() == self)
    {
        this->aggregator = self;
        this->aggregator_state = std::move(own);
        co_return true;
    }
    if (aggregators.front().get_id() != this->aggregator)
    {
        // The reply will show what the new aggregator lacks.
        this->aggregator = aggregators.front().get_id();
        this->aggregator_state = own;
    }
    fleet::message sent(
        add_missing_workers(this->aggregator_state, own, this->workers));
    const auto reply = co_await this->zone.exchange<fleet::store_state>(
        aggregators.front(), std::move(sent));
    if (reply)
    {
        const auto number = this->configuration.number();
        if (reply->get_configuration_number() > number)
        {
            co_await this->fetch_configuration(aggregators.front());
        }
        else if (reply->get_configuration_number() < number)
        {
            co_await this->offer_configuration(aggregators.front());
        }
        this->merge(*reply, started_at);
        this->aggregator_state = reply->without_content();
    }
    co_return reply.has_value();
}

asio::awaitable<void> store_state_synchronizer::run()
{
    auto due = core::runtime_clock::now();
    while (!this->stopped)
    {
        co_await core::wait_until(
            core::runtime_clock::now() + this->times.check_interval);
        const auto now = core::runtime_clock::now();
        if (now < due && !this->is_ahead_of_aggregator())
        {
            continue;
        }
        // After a failure the next aggregator is tried without delay.
        const bool has_reply = co_await this->exchange();
        due = has_reply ? now + this->times.exchange : now;
    }
}

} // namespace pollenward::main
