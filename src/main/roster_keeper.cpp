#include "main/roster_keeper.hpp"

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

    /// Time between two versions of the roster. New owners copy claims in it,
    /// so that the next change does not meet owners that are not ready.
    constexpr core::milliseconds roster_interval{ 2000 };
    constexpr core::milliseconds copy_interval{ 250 };

} // namespace

void roster_keeper::start()
{
    asio::co_spawn(this->context, this->run(), asio::detached);
    asio::co_spawn(this->context, this->copy_claims(), asio::detached);
}

asio::awaitable<void> roster_keeper::run()
{
    while (!this->stopped)
    {
        // Waits first: at the start of a fleet the daemons find each other in
        // that time, and the first roster has all of them.
        co_await core::wait_until(core::runtime_clock::now() + roster_interval);
        if (!this->stopped && this->is_keeper())
        {
            co_await this->write_next();
        }
        this->claims.expire(core::runtime_clock::now());
    }
}

asio::awaitable<void> roster_keeper::copy_claims()
{
    while (!this->stopped)
    {
        co_await this->claims.copy_unready_partitions();
        co_await core::wait_until(core::runtime_clock::now() + copy_interval);
    }
}

bool roster_keeper::is_keeper() const
{
    std::vector<core::daemon_id> live;
    for (const fleet::zone_daemon& each : this->fleet.live_daemons())
    {
        live.push_back(each.get_daemon());
    }
    const auto top = core::rendezvous_top(roster_document.str(), live, 1);
    return !top.empty() && top.front() == this->fleet.self().get_id();
}

std::vector<caller::roster_member> roster_keeper::live_members() const
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

asio::awaitable<void> roster_keeper::write_next()
{
    const auto present = this->claims.get_roster();
    const auto next = caller::next_roster(present, this->live_members());
    const bool is_first = present.get_version() == core::version_number(0);
    if (!next || (!is_first && !this->link.is_majority_reachable(present)))
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
        // A roster that was lost with the store is written back as it was.
        co_await this->write(
            core::version_number(0), is_first ? *next : present);
        co_return;
    }
    core::error reason;
    const auto stored
        = caller::decode_claim_roster(read.get_object()->get_value(), reason);
    if (!stored || stored->get_version() != present.get_version())
    {
        // Another keeper was faster, or the store was restored.
        co_return;
    }
    co_await this->write(read.get_object()->get_version(), *next);
}

asio::awaitable<void> roster_keeper::write(
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
