#include "fleet/membership.hpp"

#include <algorithm>
#include <utility>

namespace pollenward::fleet {

namespace {

    /// Dead members and addresses that never replied are pinged every fourth
    /// period, so that the two sides of a healed partition find each other.
    constexpr std::uint64_t contact_period_ticks = 4;
    constexpr std::size_t contacts_while_isolated = 3;

} // namespace

membership::membership(
    member self, std::vector<core::endpoint> seeds, std::uint64_t seed)
    : self(std::move(self))
    , seeds(std::move(seeds))
    , random(seed)
{
}

probes membership::tick(core::time_point now)
{
    if (this->last_tick && now - *this->last_tick > pause_threshold)
    {
        for (auto& [id, current] : this->table)
        {
            current.changed_at = now;
        }
        this->outstanding.clear();
    }
    this->last_tick = now;
    ++this->ticks;
    this->expire(now);
    probes sent = this->contact_probes(now);
    if (auto next = this->next_in_round(now))
    {
        sent.push_back(std::move(*next));
    }
    return sent;
}

void membership::on_ack(
    const probe& sent, const ack& reply, core::time_point now)
{
    this->outstanding.erase(sent.get_target());
    if (sent.wants_all())
    {
        this->last_full_list = now;
    }
    this->merge(reply.get_sender(), now);
    for (const member& update : reply.get_updates())
    {
        this->merge(update, now);
    }
}

probes membership::on_failure(const probe& sent, core::time_point now)
{
    const core::daemon_id& target = sent.get_target();
    const auto current = this->table.find(target);
    if (current == this->table.end()
        || current->second.record.get_state() == member_state::dead)
    {
        return {};
    }
    if (sent.is_indirect())
    {
        const auto left = this->outstanding.find(target);
        if (left != this->outstanding.end() && --left->second == 0)
        {
            this->outstanding.erase(left);
            this->suspect(target, now);
        }
        return {};
    }
    if (this->outstanding.contains(target))
    {
        return {};
    }
    probes indirect;
    for (const member& via : this->pick(indirect_probes, { target }))
    {
        indirect.push_back(probe::indirect(via.get_address(),
            ping_request::make(
                this->self, target, current->second.record.get_address())));
    }
    if (indirect.empty())
    {
        this->suspect(target, now);
        return {};
    }
    this->outstanding[target] = indirect.size();
    return indirect;
}

ack membership::on_ping(const ping& received, core::time_point now)
{
    this->merge(received.get_sender(), now);
    for (const member& update : received.get_updates())
    {
        this->merge(update, now);
    }
    const core::daemon_id& sender = received.get_sender().get_id();
    return ack::make(this->self,
        received.wants_all() ? this->all_records() : this->take_updates(sender),
        {});
}

void membership::on_record(const member& record, core::time_point now)
{
    this->merge(record, now);
}

void membership::on_hosts(const std::vector<platform::host_entry>& hosts)
{
    this->hosts = hosts;
}

void membership::set_version_in_force(core::version_number version)
{
    this->self = this->self.with_version_in_force(version);
    this->raise_sequence();
}

probes membership::leave()
{
    this->self = this->self.with_state(member_state::leaving);
    this->raise_sequence();
    probes sent;
    for (const member& each : this->pick(indirect_probes, {}))
    {
        sent.push_back(probe::direct(each.get_id(), each.get_address(),
            ping::make(
                this->self, this->take_updates(each.get_id()), 0, false)));
    }
    return sent;
}

std::vector<member> membership::list() const
{
    std::set<std::string> leaving;
    for (const platform::host_entry& host : this->hosts)
    {
        if (host.is_leaving())
        {
            leaving.insert(host.get_id());
        }
    }
    std::vector<member> all = this->all_records();
    for (member& each : all)
    {
        if (each.is_live() && leaving.contains(each.get_id().str()))
        {
            each = each.with_state(member_state::leaving);
        }
    }
    return all;
}

std::vector<member> membership::pick(
    std::size_t count, const std::set<core::daemon_id>& excluded)
{
    std::vector<member> live;
    for (const auto& [id, current] : this->table)
    {
        if (current.record.is_live() && !excluded.contains(id))
        {
            live.push_back(current.record);
        }
    }
    std::vector<member> picked;
    std::sample(live.begin(), live.end(), std::back_inserter(picked), count,
        this->random);
    return picked;
}

void membership::merge(const member& record, core::time_point now)
{
    if (record.get_id() == this->self.get_id())
    {
        this->refute(record);
        return;
    }
    const auto found = this->table.find(record.get_id());
    if (found == this->table.end())
    {
        // A dead member that is not in the table is not added: its record
        // would be passed on forever.
        if (record.get_state() != member_state::dead)
        {
            this->table.emplace(record.get_id(), entry{ record, now });
            this->announce(record.get_id());
        }
        return;
    }
    if (record.supersedes(found->second.record))
    {
        found->second = entry{ record, now };
        this->announce(record.get_id());
    }
}

void membership::refute(const member& record)
{
    if (const auto next = this->self.refutation_of(record))
    {
        this->self = *next;
    }
}

void membership::set_state(
    entry& current, member_state state, core::time_point now)
{
    current = entry{ current.record.with_state(state), now };
    this->announce(current.record.get_id());
}

void membership::suspect(const core::daemon_id& target, core::time_point now)
{
    const auto found = this->table.find(target);
    if (found != this->table.end()
        && found->second.record.get_state() < member_state::suspect)
    {
        this->set_state(found->second, member_state::suspect, now);
    }
}

void membership::expire(core::time_point now)
{
    for (auto& [id, current] : this->table)
    {
        if (current.record.get_state() == member_state::suspect
            && now - current.changed_at >= suspicion_time)
        {
            this->set_state(current, member_state::dead, now);
        }
    }
    std::erase_if(this->table, [&](const auto& each) {
        const auto& [id, current] = each;
        const bool is_old = current.record.get_state() == member_state::dead
            && now - current.changed_at >= dead_retention;
        if (is_old)
        {
            this->announcements.remove(id);
        }
        return is_old;
    });
}

std::optional<probe> membership::next_in_round(core::time_point now)
{
    const auto is_pinged = [&](const core::daemon_id& id) {
        const auto found = this->table.find(id);
        return found != this->table.end()
            && found->second.record.get_state() != member_state::dead;
    };
    while (!this->round.empty() && !is_pinged(this->round.back()))
    {
        this->round.pop_back();
    }
    if (this->round.empty())
    {
        for (const auto& [id, current] : this->table)
        {
            if (is_pinged(id))
            {
                this->round.push_back(id);
            }
        }
        std::shuffle(this->round.begin(), this->round.end(), this->random);
    }
    if (this->round.empty())
    {
        return std::nullopt;
    }
    const core::daemon_id target = std::move(this->round.back());
    this->round.pop_back();
    return this->ping_of(
        target, this->table.at(target).record.get_address(), now);
}

probes membership::contact_probes(core::time_point now)
{
    const bool is_isolated = !this->has_live_member();
    if (!is_isolated && this->ticks % contact_period_ticks != 0)
    {
        return {};
    }
    const auto addresses = this->unresponsive_addresses();
    const std::size_t count
        = std::min(is_isolated ? contacts_while_isolated : std::size_t{ 1 },
            addresses.size());
    probes sent;
    for (std::size_t i = 0; i < count; ++i)
    {
        const auto& address
            = addresses[this->contact_cursor++ % addresses.size()];
        sent.push_back(this->ping_of({}, address, now));
    }
    return sent;
}

std::vector<core::endpoint> membership::unresponsive_addresses() const
{
    std::set<core::endpoint> unresponsive(
        this->seeds.begin(), this->seeds.end());
    for (const platform::host_entry& host : this->hosts)
    {
        unresponsive.insert(host.get_address());
    }
    for (const auto& [id, current] : this->table)
    {
        unresponsive.insert(current.record.get_address());
    }
    for (const auto& [id, current] : this->table)
    {
        if (current.record.get_state() != member_state::dead)
        {
            unresponsive.erase(current.record.get_address());
        }
    }
    unresponsive.erase(this->self.get_address());
    return { unresponsive.begin(), unresponsive.end() };
}

bool membership::has_live_member() const
{
    return std::any_of(this->table.begin(), this->table.end(),
        [](const auto& each) { return each.second.record.is_live(); });
}

probe membership::ping_of(const core::daemon_id& target,
    const core::endpoint& address, core::time_point now)
{
    const bool wants_all = !this->last_full_list
        || now - *this->last_full_list >= full_list_interval;
    member_updates updates = this->take_updates(target);
    if (target.is_empty())
    {
        // The daemon at this address must receive its record as dead, so that
        // it can refute it.
        for (const auto& [id, current] : this->table)
        {
            if (current.record.get_address() == address)
            {
                updates.push_back(current.record);
            }
        }
    }
    return probe::direct(target, address,
        ping::make(this->self, std::move(updates), 0, wants_all));
}

member_updates membership::take_updates(const core::daemon_id& receiver)
{
    member_updates taken;
    const auto found = this->table.find(receiver);
    if (found != this->table.end()
        && found->second.record.get_state() >= member_state::suspect)
    {
        taken.push_back(found->second.record);
    }
    for (const auto& id : this->announcements.take(max_updates - taken.size()))
    {
        taken.push_back(this->table.at(id).record);
    }
    return taken;
}

member_updates membership::all_records() const
{
    // The table is sorted by id, so the list needs no sorting.
    member_updates all;
    all.reserve(this->table.size() + 1);
    for (const auto& [id, current] : this->table)
    {
        all.push_back(current.record);
    }
    const auto place = std::distance(
        this->table.begin(), this->table.upper_bound(this->self.get_id()));
    all.insert(all.begin() + place, this->self);
    return all;
}

void membership::announce(const core::daemon_id& id)
{
    this->announcements.add(id, this->table.size());
}

void membership::raise_sequence()
{
    this->self = this->self.with_sequence(
        this->self.get_incarnation(), this->self.get_sequence() + 1);
}

} // namespace pollenward::fleet
