#include "caller/claim_roster.hpp"

#include "core/rendezvous.hpp"

#include <algorithm>
#include <string>

namespace pollenward::caller {

namespace {

    bool has_id(const roster_member& member, const core::daemon_id& id)
    {
        return member.get_id() == id;
    }

    core::version_number next(core::version_number version)
    {
        return version + core::version_number(1);
    }

    bool contains(
        const std::vector<roster_member>& members, const core::daemon_id& id)
    {
        return std::any_of(members.begin(), members.end(),
            [&](const auto& member) { return has_id(member, id); });
    }

    void apply(std::vector<roster_member>& members, const roster_member& member,
        bool is_added)
    {
        std::erase_if(members, [&](const roster_member& current) {
            return has_id(current, member.get_id());
        });
        if (is_added)
        {
            members.push_back(member);
        }
    }

    /// A member with its score for one partition.
    struct scored_member {
        std::uint64_t score = 0;
        const roster_member* member = nullptr;

        bool is_before(const scored_member& other) const
        {
            if (other.member == nullptr || this->score != other.score)
            {
                return other.member == nullptr || this->score > other.score;
            }
            return this->member->get_id() < other.member->get_id();
        }
    };

    /// The best member for which `is_eligible` is true.
    template <class Predicate>
    const roster_member* best_of(const std::vector<roster_member>& members,
        const std::string& key, Predicate is_eligible)
    {
        scored_member best;
        for (const roster_member& member : members)
        {
            if (!is_eligible(member))
            {
                continue;
            }
            const scored_member candidate{
                core::rendezvous_score(key, member.get_id().str()), &member
            };
            if (candidate.is_before(best))
            {
                best = candidate;
            }
        }
        return best.member;
    }

} // namespace

claim_roster claim_roster::make(core::version_number version,
    std::vector<roster_member> members, std::vector<roster_change> changes)
{
    if (changes.size() > max_roster_changes)
    {
        changes.erase(changes.begin(), changes.end() - max_roster_changes);
    }
    claim_roster made;
    made.version = version;
    made.members = std::move(members);
    made.changes = std::move(changes);
    std::sort(made.members.begin(), made.members.end());
    return made;
}

std::optional<claim_roster> claim_roster::previous() const
{
    if (this->changes.empty())
    {
        return std::nullopt;
    }
    auto earlier_members = this->members;
    auto earlier_changes = this->changes;
    const roster_change last = earlier_changes.back();
    earlier_changes.pop_back();
    apply(earlier_members, last.get_member(), !last.is_added());
    return make(this->version - core::version_number(1),
        std::move(earlier_members), std::move(earlier_changes));
}

std::optional<roster_member> claim_roster::find(const core::daemon_id& id) const
{
    for (const roster_member& member : this->members)
    {
        if (has_id(member, id))
        {
            return member;
        }
    }
    return std::nullopt;
}

std::vector<core::daemon_id> claim_roster::owners_of(
    claim_partition partition) const
{
    const std::string key = "claims/" + std::to_string(partition.get());
    const roster_member* first = best_of(
        this->members, key, [](const roster_member&) { return true; });
    if (first == nullptr)
    {
        return {};
    }
    const roster_member* second
        = best_of(this->members, key, [&](const roster_member& member) {
              return member.get_zone() != first->get_zone();
          });
    if (second == nullptr)
    {
        second = best_of(this->members, key,
            [&](const roster_member& member) { return &member != first; });
    }
    std::vector<core::daemon_id> owners{ first->get_id() };
    if (second != nullptr)
    {
        owners.push_back(second->get_id());
    }
    return owners;
}

claim_roster claim_roster::with_member(roster_member member) const
{
    return this->with_change(roster_change::make(std::move(member), true));
}

claim_roster claim_roster::without_member(const core::daemon_id& id) const
{
    const auto member = this->find(id);
    return member ? this->with_change(roster_change::make(*member, false))
                  : *this;
}

claim_roster claim_roster::with_change(roster_change change) const
{
    auto changed = this->members;
    auto extended = this->changes;
    apply(changed, change.get_member(), change.is_added());
    extended.push_back(std::move(change));
    return make(next(this->version), std::move(changed), std::move(extended));
}

std::optional<claim_roster> next_roster(
    const claim_roster& current, const std::vector<roster_member>& live)
{
    if (current.get_version() == core::version_number(0))
    {
        return live.empty() ? std::nullopt
                            : std::optional(claim_roster::make(
                                core::version_number(1), live, {}));
    }
    for (const roster_member& member : current.get_members())
    {
        if (!contains(live, member.get_id()))
        {
            return current.without_member(member.get_id());
        }
    }
    for (const roster_member& candidate : live)
    {
        if (!contains(current.get_members(), candidate.get_id()))
        {
            return current.with_member(candidate);
        }
    }
    return std::nullopt;
}

} // namespace pollenward::caller
