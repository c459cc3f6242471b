#include "main/roster_updater.hpp"

#include "caller/claim_roster_json.hpp"
#include "core/rendezvous.hpp"
#include "core/runtime_timer.hpp"
#include "main/document_names.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <utility>

namespace pollenward::main {

namespace asio = boost::asio;

namespace {

    /// Time between two versions of the roster. New owners copy claims in that
    /// time, so that they are ready before the next change.
    constexpr core::milliseconds roster_interval{ 2000 };
    constexpr core::milliseconds copy_interval{ 250 };

} // namespace

void roster_updater::start()
{
    asio::co_spawn(this->context, this->run(), asio::detached);
    asio::co_spawn(this->context, this->copy_claims(), asio::detached);
}

asio::awaitable<void> roster_updater::run()
{
    while (!this->stopped)
    {
        // Waits first: at the start of a fleet the daemons discover each other
        // in that time, so that the first roster contains all of them.
        co_await core::wait_until(core::runtime_clock::now() + roster_interval);
        if (!this->stopped && this->is_preferred_updater())
        {
            co_await this->write_next();
        }
        this->claims.expire(core::runtime_clock::now());
    }
}

asio::awaitable<void> roster_updater::copy_claims()
{
    while (!this->stopped)
    {
        co_await this->claims.copy_unready_partitions();
        co_await core::wait_until(core::runtime_clock::now() + copy_interval);
    }
}

bool roster_updater::is_preferred_updater() const
{
    std::vector<core::daemon_id> live;
    for (const fleet::zone_daemon& each : this->fleet.live_daemons())
    {
        live.push_back(each.get_daemon());
    }
    const auto top = core::rendezvous_top(roster_document.str(), live, 1);
    return !top.empty() && top.front() == this->fleet.self().get_id();
}

std::vector<caller::roster_member> roster_updater::live_members() const
{
    std::vector<caller::roster_member> live;
    for (const fleet::member& each : this->fleet.members())
    {
        if (each.is_live())
        {
            live.push_back(caller::roster_member::make(
                each.get_id(), each.get_zone(), each.get_incarnation()));
        }
    }
    return live;
}

asio::awaitable<void> roster_updater::write_next()
{
    const auto current = this->claims.get_roster();
    const auto next = caller::next_roster(current, this->live_members());
    const bool is_first = current.get_version() == core::version_number(0);
    if (!next
        || (!is_first && !this->peer_claims.is_majority_reachable(current)))
    {
        co_return;
    }
    const auto read = co_await this->store.get(roster_document);
    if (read.get_state() == platform::read_state::unknown)
    {
        co_return;
    }
    if (read.get_state() == platform::read_state::absent)
    {
        // A roster that the store has lost is written back unchanged.
        co_await this->write(
            core::version_number(0), is_first ? *next : current);
        co_return;
    }
    core::error reason;
    const auto stored
        = caller::decode_claim_roster(read.get_object()->get_value(), reason);
    if (!stored || stored->get_version() != current.get_version())
    {
        // Another daemon wrote first, or the store was restored.
        co_return;
    }
    co_await this->write(read.get_object()->get_version(), *next);
}

asio::awaitable<void> roster_updater::write(
    core::version_number stored_version, caller::claim_roster next)
{
    const auto body = caller::encode_claim_roster(next);
    const auto result
        = co_await this->store.put(roster_document, stored_version, body);
    if (result.get_state() == platform::update_state::applied)
    {
        this->fleet.publish(
            fleet::document::make(roster_document, next.get_version(), body));
    }
}

} // namespace pollenward::main
