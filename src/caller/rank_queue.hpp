#pragma once

#include "caller/admission_ticket.hpp"

#include <ext/pb_ds/assoc_container.hpp>
#include <ext/pb_ds/tree_policy.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <tuple>
#include <unordered_map>

namespace pollenward::caller {

/// The requests of one rank of a service, waiting and running. The account with
/// the fewest running requests is served first; among equals the one served
/// longest ago, then the one with the earliest deadline. Within an account the
/// earliest deadline is served first. Each operation costs O(log n).
class rank_queue {
public:
    void add(const admission_ticket& ticket);

    /// The ticket to serve next.
    std::optional<admission_ticket> first() const;

    /// The ticket to remove when the queue is full: the one with the latest
    /// deadline of the account with the most waiting tickets.
    std::optional<admission_ticket> last() const;

    /// Removes a waiting ticket; false if it is not waiting.
    bool remove(const admission_ticket& ticket);

    /// Turns a waiting ticket into a running one.
    void start(const admission_ticket& ticket);

    /// Ends a running ticket.
    void finish(const admission_ticket& ticket);

    /// Number of tickets that would be served before this one if no more were
    /// added: every other account has a turn before it and before each earlier
    /// ticket of its account.
    std::size_t count_ahead(const admission_ticket& ticket) const;

    std::size_t get_waiting() const { return this->waiting; }
    std::size_t get_running() const { return this->running; }
    std::size_t get_waiting(const core::account_id& account) const;

private:
    // The deadline and the number, which makes the key unique.
    using ticket_key = std::pair<core::time_point, std::uint64_t>;
    // An order-statistics tree: count_ahead() needs the rank of a key.
    using ticket_tree = __gnu_pbds::tree<ticket_key, __gnu_pbds::null_type,
        std::less<ticket_key>, __gnu_pbds::rb_tree_tag,
        __gnu_pbds::tree_order_statistics_node_update>;

    struct account_queue {
        ticket_tree tickets;
        std::size_t running = 0;
        std::uint64_t last_turn = 0;
    };

    // Running requests, last turn, first ticket.
    using serve_key = std::tuple<std::size_t, std::uint64_t, ticket_key>;
    using size_key = std::pair<std::size_t, core::account_id>;

    static ticket_key key_of(const admission_ticket& ticket);
    static serve_key serve_key_of(const account_queue& queue);

    /// Removes the account from both indexes, changes it, and reinserts it if
    /// it still has waiting tickets. Erases an account without tickets.
    template <class Change>
    void change_account(const core::account_id& account, Change change);

    std::unordered_map<core::account_id, account_queue> accounts;
    std::map<serve_key, core::account_id> by_turn;
    std::set<size_key> by_size;
    core::rank rank = core::rank::background;
    std::uint64_t turns = 0;
    std::size_t waiting = 0;
    std::size_t running = 0;
};

} // namespace pollenward::caller
