#include "caller/partition_claims.hpp"

#include <algorithm>

namespace pollenward::caller {

void partition_claims::start_owning(
    core::version_number next, bool is_complete, core::time_point now)
{
    this->stop_owning(next);
    this->owned = true;
    this->complete = is_complete;
    this->owned_since = now;
}

void partition_claims::keep_owning(core::version_number next)
{
    this->version = next;
}

void partition_claims::stop_owning(core::version_number next)
{
    this->version = next;
    this->owned = false;
    this->complete = false;
    this->records.clear();
    this->by_age.clear();
}

bool partition_claims::is_ready(core::time_point now) const
{
    // Claims granted by earlier owners have expired after this time, even if
    // they can no longer be copied.
    const bool have_earlier_claims_expired
        = now - this->owned_since >= claim_ttl;
    return this->owned && (this->complete || have_earlier_claims_expired);
}

claim_answer partition_claims::claim(const core::request_id& id,
    std::uint64_t fingerprint, const claimant& holder,
    core::version_number requested_version, bool has_quorum,
    core::time_point now)
{
    const auto refuse = [&](claim_verdict verdict) {
        return claim_answer::make(verdict, claim_state::not_run, this->version);
    };
    if (!this->owned || requested_version != this->version)
    {
        return refuse(claim_verdict::wrong_roster);
    }
    this->expire(now);
    const auto found = this->records.find(id);
    if (found != this->records.end() && found->second.get_holder() != holder)
    {
        return claim_answer::make(
            claim_verdict::duplicate, found->second.get_state(), this->version);
    }
    if (!this->is_ready(now))
    {
        return refuse(claim_verdict::not_ready);
    }
    if (!has_quorum)
    {
        return refuse(claim_verdict::no_quorum);
    }
    if (found == this->records.end())
    {
        this->add(claim_record::make(
            id, fingerprint, holder, claim_state::running, now));
    }
    return claim_answer::make(
        claim_verdict::granted, claim_state::running, this->version);
}

void partition_claims::settle(
    const core::request_id& id, const claimant& holder, claim_state state)
{
    const auto found = this->records.find(id);
    if (found == this->records.end() || found->second.get_holder() != holder)
    {
        return;
    }
    if (state == claim_state::not_run)
    {
        this->records.erase(found);
        return;
    }
    found->second = found->second.with_state(state);
}

std::optional<std::vector<claim_record>> partition_claims::copy(
    core::version_number requested_version, core::time_point now)
{
    if (requested_version != this->version || !this->is_ready(now))
    {
        return std::nullopt;
    }
    this->expire(now);
    std::vector<claim_record> all;
    all.reserve(this->records.size());
    for (const auto& [id, record] : this->records)
    {
        all.push_back(record);
    }
    // Sorted, so that a copy can be sent in pages.
    std::sort(all.begin(), all.end());
    return all;
}

void partition_claims::install(core::version_number requested_version,
    const std::vector<claim_record>& copied, core::time_point now)
{
    if (!this->owned || requested_version != this->version
        || this->is_ready(now))
    {
        return;
    }
    for (const claim_record& record : copied)
    {
        this->add(record);
    }
    this->complete = true;
}

std::size_t partition_claims::expire(core::time_point now)
{
    std::size_t expired = 0;
    while (!this->by_age.empty() && this->by_age.front().is_expired(now))
    {
        const auto found = this->records.find(this->by_age.front().get_id());
        if (found != this->records.end() && found->second.is_expired(now))
        {
            this->records.erase(found);
            ++expired;
        }
        this->by_age.pop_front();
    }
    return expired;
}

void partition_claims::add(const claim_record& record)
{
    if (this->records.emplace(record.get_id(), record).second)
    {
        this->by_age.push_back(record);
    }
}

} // namespace pollenward::caller
