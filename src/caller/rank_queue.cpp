#include "caller/rank_queue.hpp"

#include <algorithm>

namespace pollenward::caller {

rank_queue::ticket_key rank_queue::key_of(const admission_ticket& ticket)
{
    return { ticket.get_deadline(), ticket.get_number() };
}

rank_queue::serve_key rank_queue::serve_key_of(const account_queue& queue)
{
    return { queue.running, queue.last_turn, *queue.tickets.begin() };
}

template <class Change>
void rank_queue::change_account(const core::account_id& account, Change change)
{
    account_queue& queue = this->accounts[account];
    if (!queue.tickets.empty())
    {
        this->by_turn.erase(serve_key_of(queue));
        this->by_size.erase({ queue.tickets.size(), account });
    }
    change(queue);
    if (!queue.tickets.empty())
    {
        this->by_turn.emplace(serve_key_of(queue), account);
        this->by_size.emplace(queue.tickets.size(), account);
    }
    else if (queue.running == 0)
    {
        this->accounts.erase(account);
    }
}

void rank_queue::add(const admission_ticket& ticket)
{
    this->rank = ticket.get_rank();
    this->change_account(ticket.get_account(),
        [&](account_queue& queue) { queue.tickets.insert(key_of(ticket)); });
    ++this->waiting;
}

std::optional<admission_ticket> rank_queue::first() const
{
    if (this->by_turn.empty())
    {
        return std::nullopt;
    }
    const auto& [key, account] = *this->by_turn.begin();
    const auto& [deadline, number] = std::get<ticket_key>(key);
    return admission_ticket::make(number, this->rank, account, deadline);
}

std::optional<admission_ticket> rank_queue::last() const
{
    if (this->by_size.empty())
    {
        return std::nullopt;
    }
    const core::account_id& account = this->by_size.rbegin()->second;
    const auto& [deadline, number]
        = *this->accounts.at(account).tickets.rbegin();
    return admission_ticket::make(number, this->rank, account, deadline);
}

bool rank_queue::remove(const admission_ticket& ticket)
{
    bool is_removed = false;
    this->change_account(ticket.get_account(), [&](account_queue& queue) {
        is_removed = queue.tickets.erase(key_of(ticket));
    });
    this->waiting -= is_removed ? 1 : 0;
    return is_removed;
}

void rank_queue::start(const admission_ticket& ticket)
{
    this->change_account(ticket.get_account(), [&](account_queue& queue) {
        queue.tickets.erase(key_of(ticket));
        ++queue.running;
        queue.last_turn = ++this->turns;
    });
    --this->waiting;
    ++this->running;
}

void rank_queue::finish(const admission_ticket& ticket)
{
    this->change_account(
        ticket.get_account(), [](account_queue& queue) { --queue.running; });
    --this->running;
}

std::size_t rank_queue::count_ahead(const admission_ticket& ticket) const
{
    const auto found = this->accounts.find(ticket.get_account());
    if (found == this->accounts.end() || found->second.tickets.empty())
    {
        return std::min(this->waiting, this->by_turn.size());
    }
    const account_queue& queue = found->second;
    const std::size_t before = queue.tickets.order_of_key(key_of(ticket));
    const std::size_t others = this->by_turn.size() - 1;
    const std::size_t of_others = this->waiting - queue.tickets.size();
    return before + std::min(of_others, (before + 1) * others);
}

std::size_t rank_queue::get_waiting(const core::account_id& account) const
{
    const auto found = this->accounts.find(account);
    return found == this->accounts.end() ? 0 : found->second.tickets.size();
}

} // namespace pollenward::caller
