#pragma once

#include "caller/admission_limits.hpp"
#include "caller/admission_ticket.hpp"
#include "caller/rank_line.hpp"
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
    /// Its deadline cannot be met, or passed while it waited.
    deadline,
    /// No room is left, or a more urgent request took its place.
    queue_full
};

/// What became of an offered ticket.
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

    /// Nothing if the ticket waits now.
    const std::optional<admission_refusal>& get_refusal() const
    {
        return this->refusal;
    }

    /// The ticket that lost its place, which its owner has to be told.
    const std::optional<admission_ticket>& get_displaced() const
    {
        return this->displaced;
    }

    auto operator<=>(const offer_result&) const = default;

private:
    std::optional<admission_refusal> refusal;
    std::optional<admission_ticket> displaced;
};

/// One step of a queue: the tickets whose deadline passed, and the ticket that
/// may run now, if there is one.
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
/// requests go first. While the urgent ones alone exceed the limit, and always
/// between standard and background, each rank with waiting requests keeps its
/// minimum share of the grants. Each operation costs O(log n) for n waiting
/// requests, plus O(log n) for each ticket that expired.
class admission_queue {
public:
    explicit admission_queue(queue_bounds bounds = queue_bounds())
        : bounds(bounds)
    {
    }

    /// Lets a ticket wait, or refuses it at once if its deadline cannot be met
    /// or no room is left.
    offer_result offer(const admission_ticket& ticket,
        const admission_limits& limits, core::time_point now);

    /// Takes out expired tickets and admits one if the limit allows it. To be
    /// called after each change until it admits none.
    admission_step next(const admission_limits& limits, core::time_point now);

    /// Ends an admitted ticket. `service_time` is how long its request ran on
    /// a worker, if it did.
    void finish(const admission_ticket& ticket,
        std::optional<core::duration> service_time);

    /// Removes a waiting ticket; false if it does not wait.
    bool withdraw(const admission_ticket& ticket);

    /// Waiting and running requests of each rank.
    std::array<double, core::rank_count> demand() const;

    /// True while requests wait: the service has no capacity to spare.
    bool is_overloaded() const;

    /// True while the rank gets less than it asks for. Urgent requests that
    /// wait for a moment in a flood of other work do not count, only those
    /// refused within the last second; a lower rank counts as soon as requests
    /// of it or of a more urgent rank wait.
    bool is_overloaded(core::rank rank, core::time_point now) const;

    std::size_t get_running() const;

private:
    const rank_line& line_of(core::rank rank) const
    {
        return this->lines[core::index_of(rank)];
    }

    rank_line& line_of(core::rank rank)
    {
        return this->lines[core::index_of(rank)];
    }

    core::duration expected_wait(const admission_ticket& ticket,
        const admission_limits& limits, core::time_point now) const;
    bool is_room_for(core::rank rank) const;
    std::optional<admission_ticket> displaced_by(
        const admission_ticket& ticket) const;
    std::optional<core::rank> choose_rank(
        const admission_limits& limits, core::time_point now) const;
    void grant_credit(core::rank admitted, const admission_limits& limits);
    void count_urgent_offer(core::time_point now);
    double urgent_offers_per_second(core::time_point now) const;
    bool is_urgent_over_limit(
        const admission_limits& limits, core::time_point now) const;

    queue_bounds bounds;
    std::array<rank_line, core::rank_count> lines;
    std::set<std::pair<core::time_point, admission_ticket>> by_deadline;
    // Grants that a rank was owed and did not get, while it had waiting
    // tickets.
    std::array<double, core::rank_count> credits{};
    // Mean of the latest service times; zero until one is known.
    double service_seconds = 0;
    double urgent_offers = 0;
    core::time_point urgent_counted_at;
    std::optional<core::time_point> urgent_refused_at;
};

} // namespace pollenward::caller
