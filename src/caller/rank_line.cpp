#include "caller/rank_line.hpp"

#include <algorithm>

namespace pollenward::caller {

rank_line::ticket_key rank_line::key_of(const admission_ticket& ticket)
{
    return { ticket.get_deadline(), ticket.get_number() };
}

rank_line::serve_key rank_line::serve_key_of(const account_line& line)
{
    return { line.running, line.last_turn, *line.tickets.begin() };
}

template <class Change>
void rank_line::change_account(const core::account_id& account, Change change)
{
    account_line& line = this->accounts[account];
    if (!line.tickets.empty())
    {
        this->by_turn.erase(serve_key_of(line));
        this->by_size.erase({ line.tickets.size(), account });
    }
    change(line);
    if (!line.tickets.empty())
    {
        this->by_turn.emplace(serve_key_of(line), account);
        this->by_size.emplace(line.tickets.size(), account);
    }
    else if (line.running == 0)
    {
        this->accounts.erase(account);
    }
}

void rank_line::add(const admission_ticket& ticket)
{
    this->rank = ticket.get_rank();
    this->change_account(ticket.get_account(),
        [&](account_line& line) { line.tickets.insert(key_of(ticket)); });
    ++this->waiting;
}

std::optional<admission_ticket> rank_line::first() const
{
    if (this->by_turn.empty())
    {
        return std::nullopt;
    }
    const auto& [key, account] = *this->by_turn.begin();
    const auto& [deadline, number] = std::get<ticket_key>(key);
    return admission_ticket::make(number, this->rank, account, deadline);
}

std::optional<admission_ticket> rank_line::last() const
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

bool rank_line::remove(const admission_ticket& ticket)
{
    bool is_removed = false;
    this->change_account(ticket.get_account(), [&](account_line& line) {
        is_removed = line.tickets.erase(key_of(ticket));
    });
    this->waiting -= is_removed ? 1 : 0;
    return is_removed;
}

void rank_line::start(const admission_ticket& ticket)
{
    this->change_account(ticket.get_account(), [&](account_line& line) {
        line.tickets.erase(key_of(ticket));
        ++line.running;
        line.last_turn = ++this->turns;
    });
    --this->waiting;
    ++this->running;
}

void rank_line::finish(const admission_ticket& ticket)
{
    this->change_account(
        ticket.get_account(), [](account_line& line) { --line.running; });
    --this->running;
}

std::size_t rank_line::count_ahead(const admission_ticket& ticket) const
{
    const auto found = this->accounts.find(ticket.get_account());
    if (found == this->accounts.end() || found->second.tickets.empty())
    {
        return std::min(this->waiting, this->by_turn.size());
    }
    const account_line& line = found->second;
    const std::size_t before = line.tickets.order_of_key(key_of(ticket));
    const std::size_t others = this->by_turn.size() - 1;
    const std::size_t of_others = this->waiting - line.tickets.size();
    return before + std::min(of_others, (before + 1) * others);
}

std::size_t rank_line::get_waiting(const core::account_id& account) const
{
    const auto found = this->accounts.find(account);
    return found == this->accounts.end() ? 0 : found->second.tickets.size();
}

} // namespace pollenward::caller
