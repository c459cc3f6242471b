#include "main/claim_client.hpp"

#include <algorithm>
#include <cstdint>
#include <utility>

namespace pollenward::main {

namespace asio = boost::asio;

namespace {

    /// How long a member counts as reachable after an exchange. Each daemon
    /// pings one member and is pinged about once in 500 ms, so this must grow
    /// with the roster to include exchanges with more than half of it. It must
    /// stay far shorter than the lifetime of claims: see docs/claims.md.
    core::duration majority_validity(std::size_t members)
    {
        constexpr core::milliseconds shortest{ 10000 };
        constexpr core::milliseconds per_member{ 300 };
        return std::max(
            shortest, per_member * static_cast<std::int64_t>(members));
    }

} // namespace

asio::awaitable<caller::claim_answer> claim_client::request_claim(
    core::daemon_id owner, caller::claim_parameters parameters)
{
    core::error reason;
    const auto reply = co_await this->fleet.exchange(std::move(owner),
        fleet::claim_request::make(std::move(parameters)), reason);
    const auto* answered
        = reply ? std::get_if<fleet::claim_reply>(&*reply) : nullptr;
    co_return answered != nullptr ? answered->get_answer()
                                  : caller::claim_answer();
}

void claim_client::settle_claim(const core::daemon_id& owner,
    const caller::claim_parameters& parameters, caller::claim_state state)
{
    this->fleet.send(owner,
        fleet::claim_settle::make(
            parameters.get_id(), parameters.get_holder(), state));
}

asio::awaitable<std::optional<std::vector<caller::claim_record>>>
claim_client::fetch_claims(core::daemon_id owner,
    caller::claim_partition partition, core::version_number version)
{
    std::vector<caller::claim_record> records;
    std::string cursor;
    do
    {
        core::error reason;
        const auto reply = co_await this->fleet.exchange(
            owner, fleet::claim_copy::make(partition, version, cursor), reason);
        const auto* page
            = reply ? std::get_if<fleet::claim_page>(&*reply) : nullptr;
        if (page == nullptr || !page->is_ready()
            || page->get_roster() != version)
        {
            co_return std::nullopt;
        }
        const auto now = core::runtime_clock::now();
        for (const fleet::claim_entry& entry : page->get_entries())
        {
            records.push_back(entry.to_record(now));
        }
        cursor = page->get_next_cursor();
    } while (!cursor.empty());
    co_return records;
}

bool claim_client::is_majority_reachable(
    const caller::claim_roster& roster) const
{
    const auto now = core::runtime_clock::now();
    const auto self = this->fleet.self().get_id();
    const auto validity = majority_validity(roster.get_members().size());
    std::size_t reachable = 0;
    for (const caller::roster_member& member : roster.get_members())
    {
        const auto last = this->fleet.last_exchange(member.get_id());
        const bool is_reachable
            = member.get_id() == self || (last && now - *last <= validity);
        reachable += is_reachable ? 1 : 0;
    }
    return reachable * 2 > roster.get_members().size();
}

} // namespace pollenward::main
