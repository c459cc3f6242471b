#include "caller/rank_queue.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <cstdlib>
#include <map>
#include <optional>
#include <vector>

using namespace pollenward;
using namespace pollenward::caller;
using core::rank;
using std::chrono::milliseconds;

namespace {

// RapidCheck reads RC_PARAMS at the first property; a value that is set already
// is kept.
const int has_seed = ::setenv("RC_PARAMS", "seed=1", 0);

const core::time_point zero{ core::seconds(1000) };

admission_ticket ticket_of(
    std::uint64_t number, const std::string& account, core::time_point deadline)
{
    return admission_ticket::make(
        number, rank::standard, core::account_id(account), deadline);
}

/// Reference implementation of the order within one rank; scans all tickets.
class linear_scan_queue {
public:
    void add(const admission_ticket& ticket)
    {
        this->waiting.push_back(ticket);
    }

    void start(const admission_ticket& ticket)
    {
        std::erase(this->waiting, ticket);
        this->running.push_back(ticket);
        this->turns[ticket.get_account()] = ++this->last_turn;
    }

    void finish(const admission_ticket& ticket)
    {
        std::erase(this->running, ticket);
        this->erase_idle_account(ticket.get_account());
    }

    void remove(const admission_ticket& ticket)
    {
        std::erase(this->waiting, ticket);
        this->erase_idle_account(ticket.get_account());
    }

    std::optional<admission_ticket> first() const
    {
        const auto key = [this](const admission_ticket& ticket) {
            const auto turn = this->turns.find(ticket.get_account());
            return std::tuple(count(this->running, ticket),
                turn == this->turns.end() ? 0 : turn->second,
                ticket.get_deadline(), ticket.get_number());
        };
        const auto found
            = std::min_element(this->waiting.begin(), this->waiting.end(),
                [&](const auto& a, const auto& b) { return key(a) < key(b); });
        return found == this->waiting.end() ? std::nullopt
                                            : std::optional(*found);
    }

    std::vector<admission_ticket> waiting;
    std::vector<admission_ticket> running;

private:
    static long count(const std::vector<admission_ticket>& tickets,
        const admission_ticket& like)
    {
        return std::count_if(
            tickets.begin(), tickets.end(), [&](const auto& each) {
                return each.get_account() == like.get_account();
            });
    }

    void erase_idle_account(const core::account_id& account)
    {
        const auto like = ticket_of(0, account.str(), zero);
        if (count(this->waiting, like) + count(this->running, like) == 0)
        {
            this->turns.erase(account);
        }
    }

    std::map<core::account_id, std::uint64_t> turns;
    std::uint64_t last_turn = 0;
};

} // namespace

// Guards against an index of the queue that becomes inconsistent with its
// tickets, which would starve an account or serve a ticket twice.
TEST_CASE("a queue serves in the order that a scan finds", "[caller][property]")
{
    CHECK(rc::check("same order as a naive scan", [] {
        rank_queue queue;
        linear_scan_queue oracle;
        const auto steps = *rc::gen::container<std::vector<int>>(
            200, rc::gen::inRange(0, 1000));
        std::uint64_t number = 0;
        for (const int step : steps)
        {
            const auto ticket = ticket_of(++number,
                std::string(1, static_cast<char>('a' + step % 5)),
                zero + milliseconds(step % 37));
            const auto pick = [&](const auto& from) {
                return from[static_cast<std::size_t>(step) % from.size()];
            };
            if (step < 500)
            {
                queue.add(ticket);
                oracle.add(ticket);
            }
            else if (step < 700 && queue.first())
            {
                const auto next = *queue.first();
                queue.start(next);
                oracle.start(next);
            }
            else if (step < 850 && !oracle.running.empty())
            {
                const auto ended = pick(oracle.running);
                queue.finish(ended);
                oracle.finish(ended);
            }
            else if (!oracle.waiting.empty())
            {
                const auto gone = pick(oracle.waiting);
                RC_ASSERT(queue.remove(gone));
                oracle.remove(gone);
            }
            RC_ASSERT(queue.first() == oracle.first());
            RC_ASSERT(queue.get_waiting() == oracle.waiting.size());
            RC_ASSERT(queue.get_running() == oracle.running.size());
        }
    }));
}
