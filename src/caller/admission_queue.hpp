#pragma once

#include "caller/admission_limits.hpp"
#include "caller/admission_ticket.hpp"
#include "caller/rank_queue.hpp"
#include "core/rank.hpp"
#include "core/runtime_clock.hpp"

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace pollenward::caller {

/// Why a request was not admitted.
enum class admission_refusal {
    /// The deadline cannot be met, or passed while the request waited.
    deadline,
    /// The queue is full, or the request was displaced by another one.
    queue_full,
    /// All workers of the service want no requests for a time.
    workers_pause
};

/// The result of admission_queue::offer().
class offer_result {
public:
    static offer_result queued(std::optional<admission_ticket> displaced)
    {
        offer_result made;
        made.displaced = std::move(displaced);
        return made;
    }

    static offer_result refused(admission_refusal refusal)
    {
        offer_result made;
        made.refusal = refusal;
        return made;
    }

    /// Empty if the ticket was queued.
    const std::optional<admission_refusal>& get_refusal() const
    {
        return this->refusal;
    }

    /// The ticket that was removed to make room; its request must be refused.
    const std::optional<admission_ticket>& get_displaced() const
    {
        return this->displaced;
    }

    auto operator<=>(const offer_result&) const = default;

private:
    std::optional<admission_refusal> refusal;
    std::optional<admission_ticket> displaced;
};

/// The result of admission_queue::admit_next(): the tickets whose deadline
/// passed, and the ticket that may run now, if there is one.
class admission_step {
public:
    static admission_step make(std::vector<admission_ticket> expired,
        std::optional<admission_ticket> admitted)
    {
        admission_step made;
        made.expired = std::move(expired);
        made.admitted = std::move(admitted);
        return made;
    }

    const std::vector<admission_ticket>& get_expired() const
    {
        return this->expired;
    }

    const std::optional<admission_ticket>& get_admitted() const
    {
        return this->admitted;
    }

    auto operator<=>(const admission_step&) const = default;

private:
    std::vector<admission_ticket> expired;
    std::optional<admission_ticket> admitted;
};

/// Decides which requests of one service run, wait or are refused. Urgent
/// requests are admitted first. While they alone exceed the limit, and always
/// between standard and background, each rank with waiting requests keeps its
/// minimum share of the admissions. Each operation costs O(log n) for n waiting
/// requests, plus O(log n) for each ticket that expired.
class admission_queue {
public:
    explicit admission_queue(queue_bounds bounds = queue_bounds())
        : bounds(bounds)
    {
    }

    /// Queues a ticket, or refuses it at once if its deadline cannot be met or
    /// the queue is full.
    offer_result offer(const admission_ticket& ticket,
        const admission_limits& limits, core::time_point now);

    /// Removes expired tickets and admits one if the limit allows it. Must be
    /// called after each change until it admits none.
    admission_step admit_next(
        const admission_limits& limits, core::time_point now);

    /// Ends an admitted ticket. `service_time` is how long its request ran on
    /// a worker, if it did.
    void finish(const admission_ticket& ticket,
        std::optional<core::duration> service_time);

    /// Removes a waiting ticket; false if it is not waiting.
    bool withdraw(const admission_ticket& ticket);

    /// Number of waiting and running requests of each rank.
    std::array<double, core::rank_count> demand() const;

    /// True while requests wait: the service has no capacity to spare.
    bool is_overloaded() const;

    /// True while the rank gets less capacity than it needs. The urgent rank is
    /// overloaded only if one of its requests was refused within the last
    /// second: a short wait behind other work does not count. A lower rank is
    /// overloaded as soon as requests of it or of a more urgent rank wait.
    bool is_overloaded(core::rank rank, core::time_point now) const;

    std::size_t get_running() const;

private:
    const rank_queue& queue_of(core::rank rank) const
    {
        return this->rank_queues[core::index_of(rank)];
    }

    rank_queue& queue_of(core::rank rank)
    {
        return this->rank_queues[core::index_of(rank)];
    }

    core::duration expected_wait(const admission_ticket& ticket,
        const admission_limits& limits, core::time_point now) const;
    bool is_room_for(core::rank rank) const;
    std::optional<admission_ticket> find_displaced(
        const admission_ticket& ticket) const;
    std::optional<core::rank> choose_rank(
        const admission_limits& limits, core::time_point now) const;
    void update_credits(core::rank admitted, const admission_limits& limits);
    void count_urgent_offer(core::time_point now);
    double urgent_offers_per_second(core::time_point now) const;
    bool is_urgent_over_limit(
        const admission_limits& limits, core::time_point now) const;

    queue_bounds bounds;
    std::array<rank_queue, core::rank_count> rank_queues;
    std::set<std::pair<core::time_point, admission_ticket>> by_deadline;
    // Admissions that each rank is short of its minimum share, counted while it
    // has waiting tickets.
    std::array<double, core::rank_count> credits{};
    // Moving average of the service times; 0 before the first one.
    double service_seconds = 0;
    double urgent_offers = 0;
    core::time_point urgent_counted_at;
    std::optional<core::time_point> urgent_refused_at;
};

} // namespace pollenward::caller
