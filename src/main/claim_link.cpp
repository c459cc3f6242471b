#include "main/claim_link.hpp"

#include <algorithm>
#include <cstdint>
#include <utility>

namespace pollenward::main {

namespace asio = boost::asio;

namespace {

    /// A member counts as heard for this long. Each daemon pings one member
    /// and is pinged about once in 500 ms, so the time has to grow with the
    /// roster for more than half to be heard in it. It must stay far shorter
    /// than the time that claims last: see docs/claims.md.
    core::duration majority_validity(std::size_t members)
    {
        constexpr core::milliseconds shortest{ 10000 };
        constexpr core::milliseconds per_member{ 300 };
        return std::max(
            shortest, per_member * static_cast<std::int64_t>(members));
    }

} // namespace

asio::awaitable<caller::claim_answer> claim_link::ask(
    core::daemon_id owner, caller::claim_parameters question)
{
    core::error reason;
    const auto reply = co_await this->fleet.exchange(std::move(owner),
        fleet::claim_request::make(std::move(question)), reason);
    const auto* answered
        = reply ? std::get_if<fleet::claim_reply>(&*reply) : nullptr;
    co_return answered != nullptr ? answered->get_answer()
                                  : caller::claim_answer();
}

void claim_link::tell(const core::daemon_id& owner,
    const caller::claim_parameters& question, caller::claim_state state)
{
    this->fleet.tell(owner,
        fleet::claim_settle::make(
            question.get_id(), question.get_holder(), state));
}

asio::awaitable<std::optional<std::vector<caller::claim_record>>>
claim_link::copy(core::daemon_id owner, caller::claim_partition partition,
    core::version_number version)
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

bool claim_link::hears_majority(const caller::claim_roster& roster) const
{
    const auto now = core::runtime_clock::now();
    const auto self = this->fleet.self().get_id();
    const auto validity = majority_validity(roster.get_members().size());
    std::size_t heard = 0;
    for (const caller::roster_member& member : roster.get_members())
    {
        const auto last = this->fleet.last_heard(member.get_id());
        const bool is_heard
            = member.get_id() == self || (last && now - *last <= validity);
        heard += is_heard ? 1 : 0;
    }
    return heard * 2 > roster.get_members().size();
}

} // namespace pollenward::main
