#include "caller/claim_table.hpp"

#include <algorithm>
#include <utility>

namespace pollenward::caller {

claim_table::claim_table(
    core::daemon_id self, core::incarnation_number incarnation)
    : self(std::move(self))
    , incarnation(incarnation)
{
}

bool claim_table::owns(
    const claim_roster& roster, claim_partition partition) const
{
    const auto owners = roster.owners_of(partition);
    return std::find(owners.begin(), owners.end(), this->self) != owners.end();
}

void claim_table::install_roster(
    const claim_roster& roster, core::time_point now)
{
    std::vector<claim_roster> versions{ roster };
    while (const auto earlier = versions.back().previous())
    {
        versions.push_back(*earlier);
    }
    std::reverse(versions.begin(), versions.end());
    for (const claim_roster& version : versions)
    {
        this->for_each_partition(
            [&](claim_partition partition, partition_claims& claims) {
                this->apply_version(partition, claims, version, now);
            });
    }
}

void claim_table::apply_version(claim_partition partition,
    partition_claims& claims, const claim_roster& roster,
    core::time_point now) const
{
    const core::version_number next = roster.get_version();
    if (next <= claims.get_version())
    {
        return;
    }
    // Other owners may have granted claims in a version that was missed.
    if (next != claims.get_version() + core::version_number(1))
    {
        claims.stop_owning(next);
    }
    if (!this->owns(roster, partition))
    {
        claims.stop_owning(next);
    }
    else if (claims.is_owned())
    {
        claims.keep_owning(next);
    }
    else
    {
        claims.start_owning(next, this->is_complete(roster), now);
    }
}

bool claim_table::is_complete(const claim_roster& roster) const
{
    // No claims exist before the first roster, so its members have all claims
    // unless they were restarted since.
    const auto entry = roster.find(this->self);
    return roster.get_version() == core::version_number(1) && entry
        && entry->get_incarnation() == this->incarnation;
}

claim_answer claim_table::claim(const core::request_id& id,
    std::uint64_t fingerprint, const claimant& holder,
    core::version_number roster_version, bool has_quorum, core::time_point now)
{
    return this->at(partition_of(id), [&](partition_claims& claims) {
        return claims.claim(
            id, fingerprint, holder, roster_version, has_quorum, now);
    });
}

void claim_table::settle(
    const core::request_id& id, const claimant& holder, claim_state state)
{
    this->at(partition_of(id),
        [&](partition_claims& claims) { claims.settle(id, holder, state); });
}

std::optional<std::vector<claim_record>> claim_table::copy(
    claim_partition partition, core::version_number roster_version,
    core::time_point now)
{
    return this->at(partition, [&](partition_claims& claims) {
        return claims.copy(roster_version, now);
    });
}

void claim_table::install_copy(claim_partition partition,
    core::version_number roster_version,
    const std::vector<claim_record>& records, core::time_point now)
{
    this->at(partition, [&](partition_claims& claims) {
        claims.install(roster_version, records, now);
    });
}

std::vector<claim_partition> claim_table::unready_partitions(
    core::time_point now)
{
    std::vector<claim_partition> unready;
    this->for_each_partition(
        [&](claim_partition partition, partition_claims& claims) {
            if (claims.is_owned() && !claims.is_ready(now))
            {
                unready.push_back(partition);
            }
        });
    return unready;
}

std::size_t claim_table::expire(core::time_point now)
{
    std::size_t expired = 0;
    this->for_each_partition([&](claim_partition, partition_claims& claims) {
        expired += claims.expire(now);
    });
    return expired;
}

std::size_t claim_table::size()
{
    std::size_t total = 0;
    this->for_each_partition([&](claim_partition, partition_claims& claims) {
        total += claims.size();
    });
    return total;
}

} // namespace pollenward::caller
