#include "main/knowledge_link.hpp"

#include "core/runtime_timer.hpp"

#include <algorithm>
#include <utility>

namespace pollenward::main {

namespace asio = boost::asio;

namespace {

    /// Adds what the peer lacks.
    fleet::store_state complete_for(const fleet::store_state& peer,
        const fleet::store_state& mine,
        const configuration_intake& configuration, const worker_intake& workers)
    {
        const auto told = mine.with_configuration(
            configuration.document_above(peer.get_configuration_number()));
        auto changes = workers.changes_since(peer.get_workers().get_revision());
        return changes ? told.with_changes(std::move(*changes)) : told;
    }

} // namespace

// Marks are read before what they are about: what changes in between is told
// twice then, and never left out.

fleet::store_state knowledge_link::own_knowledge(core::time_point now) const
{
    const auto configuration = this->configuration.own_mark(now);
    const auto workers = this->workers.own_mark(now);
    return fleet::store_state::make(
        this->configuration.number(), configuration, workers);
}

fleet::store_state knowledge_link::knowledge_of_zone(core::time_point now) const
{
    const auto configuration = this->configuration.mark(now);
    const auto workers = this->workers.mark(now);
    return fleet::store_state::make(
        this->configuration.number(), configuration, workers);
}

void knowledge_link::take(const fleet::store_state& told, core::time_point now)
{
    this->configuration.take(told, now);
    this->workers.take(told, now);
}

fleet::store_state knowledge_link::answer(const fleet::store_state& told)
{
    const auto now = core::runtime_clock::now();
    this->take(told, now);
    return complete_for(
        told, this->knowledge_of_zone(now), this->configuration, this->workers);
}

bool knowledge_link::is_ahead_of_home() const
{
    return this->configuration.number()
        > this->home_knows.get_configuration_number()
        || this->workers.last_change()
        > this->home_knows.get_workers().get_revision();
}

asio::awaitable<bool> knowledge_link::exchange()
{
    const auto begun = core::runtime_clock::now();
    const auto homes = this->zone.homes(askers, begun);
    const core::daemon_id self = this->zone.self().get_id();
    this->duty.assign(homes.empty()
        || std::any_of(homes.begin(), homes.end(),
            [&](const fleet::member& each) { return each.get_id() == self; }));
    auto mine = this->own_knowledge(begun);
    if (homes.empty() || homes.front().get_id() == self)
    {
        this->home = self;
        this->home_knows = std::move(mine);
        co_return true;
    }
    if (homes.front().get_id() != this->home)
    {
        // Its reply tells what it lacks.
        this->home = homes.front().get_id();
        this->home_knows = mine;
    }
    fleet::message told(complete_for(
        this->home_knows, mine, this->configuration, this->workers));
    const auto heard = co_await this->zone.exchange<fleet::store_state>(
        homes.front(), std::move(told));
    if (heard)
    {
        this->take(*heard, begun);
        this->home_knows = heard->without_content();
    }
    co_return heard.has_value();
}

asio::awaitable<void> knowledge_link::run()
{
    auto due = core::runtime_clock::now();
    while (!this->stopped)
    {
        co_await core::wait_until(
            core::runtime_clock::now() + this->times.tick);
        const auto now = core::runtime_clock::now();
        if (now < due && !this->is_ahead_of_home())
        {
            continue;
        }
        // The next home is asked at once.
        const bool is_done = co_await this->exchange();
        due = is_done ? now + this->times.exchange : now;
    }
}

} // namespace pollenward::main
