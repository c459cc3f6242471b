#include "caller/admission_queue.hpp"

#include <algorithm>
#include <cmath>

namespace pollenward::caller {

namespace {

    // Weight of the newest service time in the moving average, which follows a
    // change within about 20 requests.
    constexpr double service_time_weight = 0.1;
    // Time constant of the average rate of urgent offers. At 76 offers/s its
    // deviation is below 4 %, so a load just below the limit is rarely mistaken
    // for one above it.
    constexpr core::seconds urgent_rate_window{ 5 };
    // Minimum shares stay in force for this long after an urgent request was
    // refused.
    constexpr core::seconds refusal_window{ 1 };
    // In admissions. Bounds the burst of a rank that waited long behind urgent
    // requests.
    constexpr double max_credit = 2;

    constexpr std::array minimum_share_ranks
        = { core::rank::standard, core::rank::background };

} // namespace

offer_result admission_queue::offer(const admission_ticket& ticket,
    const admission_limits& limits, core::time_point now)
{
    const bool is_urgent = ticket.get_rank() == core::rank::urgent;
    if (is_urgent)
    {
        this->count_urgent_offer(now);
    }
    const auto refuse = [&](admission_refusal refusal) {
        if (is_urgent)
        {
            this->urgent_refused_at = now;
        }
        return offer_result::refused(refusal);
    };
    const auto wait = this->expected_wait(ticket, limits, now);
    if (ticket.get_deadline() <= now || wait >= ticket.get_deadline() - now)
    {
        return refuse(admission_refusal::deadline);
    }
    std::optional<admission_ticket> displaced;
    if (!this->is_room_for(ticket.get_rank()))
    {
        displaced = this->find_displaced(ticket);
        if (!displaced)
        {
            return refuse(admission_refusal::queue_full);
        }
        this->withdraw(*displaced);
    }
    this->queue_of(ticket.get_rank()).add(ticket);
    this->by_deadline.emplace(ticket.get_deadline(), ticket);
    return offer_result::queued(std::move(displaced));
}

admission_step admission_queue::admit_next(
    const admission_limits& limits, core::time_point now)
{
    std::vector<admission_ticket> expired;
    while (
        !this->by_deadline.empty() && this->by_deadline.begin()->first <= now)
    {
        expired.push_back(this->by_deadline.begin()->second);
        this->withdraw(expired.back());
        if (expired.back().get_rank() == core::rank::urgent)
        {
            this->urgent_refused_at = now;
        }
    }
    const auto running = static_cast<double>(this->get_running());
    const auto rank = this->choose_rank(limits, now);
    if (!rank || running + 1 > limits.get_concurrency())
    {
        return admission_step::make(std::move(expired), std::nullopt);
    }
    auto admitted = this->queue_of(*rank).first();
    this->update_credits(*rank, limits);
    this->queue_of(*rank).start(*admitted);
    this->by_deadline.erase({ admitted->get_deadline(), *admitted });
    return admission_step::make(std::move(expired), std::move(admitted));
}

void admission_queue::finish(
    const admission_ticket& ticket, std::optional<core::duration> service_time)
{
    this->queue_of(ticket.get_rank()).finish(ticket);
    if (!service_time)
    {
        return;
    }
    const double latest = core::to_seconds(*service_time);
    const double weight = this->service_seconds == 0 ? 1 : service_time_weight;
    this->service_seconds += weight * (latest - this->service_seconds);
}

bool admission_queue::withdraw(const admission_ticket& ticket)
{
    this->by_deadline.erase({ ticket.get_deadline(), ticket });
    return this->queue_of(ticket.get_rank()).remove(ticket);
}

std::array<double, core::rank_count> admission_queue::demand() const
{
    std::array<double, core::rank_count> all{};
    for (const core::rank rank : core::all_ranks)
    {
        const rank_queue& queue = this->queue_of(rank);
        all[core::index_of(rank)]
            = static_cast<double>(queue.get_waiting() + queue.get_running());
    }
    return all;
}

bool admission_queue::is_overloaded() const
{
    return !this->by_deadline.empty();
}

bool admission_queue::is_overloaded(core::rank rank, core::time_point now) const
{
    if (rank == core::rank::urgent)
    {
        return this->urgent_refused_at
            && now - *this->urgent_refused_at <= refusal_window;
    }
    for (std::size_t i = 0; i <= core::index_of(rank); ++i)
    {
        if (this->queue_of(core::all_ranks[i]).get_waiting() > 0)
        {
            return true;
        }
    }
    return false;
}

std::size_t admission_queue::get_running() const
{
    std::size_t total = 0;
    for (const rank_queue& queue : this->rank_queues)
    {
        total += queue.get_running();
    }
    return total;
}

/// Estimates the wait of a ticket if no more are offered, from the average
/// service time. The wait is 0 if a slot is free: otherwise an average above
/// the deadlines would refuse all requests and never be corrected.
core::duration admission_queue::expected_wait(const admission_ticket& ticket,
    const admission_limits& limits, core::time_point now) const
{
    const core::rank rank = ticket.get_rank();
    const double own
        = static_cast<double>(this->queue_of(rank).count_ahead(ticket)) + 1;
    double position = own;
    for (const core::rank other : core::all_ranks)
    {
        if (other < rank)
        {
            position
                += static_cast<double>(this->queue_of(other).get_waiting());
        }
    }
    const double share = limits.get_minimum_share(rank);
    const bool is_share_in_force = this->is_urgent_over_limit(limits, now)
        || this->queue_of(core::rank::urgent).get_waiting() == 0;
    if (rank != core::rank::urgent && share > 0 && is_share_in_force)
    {
        position = std::min(position, own / share);
    }
    const double free_slots = std::floor(limits.get_concurrency())
        - static_cast<double>(this->get_running());
    const double grants_before
        = std::max(0.0, position - std::max(0.0, free_slots));
    const std::chrono::duration<double> wait(
        grants_before * this->service_seconds / limits.get_concurrency());
    return std::chrono::duration_cast<core::duration>(wait);
}

bool admission_queue::is_room_for(core::rank rank) const
{
    const std::size_t reserved = this->bounds.get_reserved();
    std::size_t shared_used = 0;
    for (const rank_queue& queue : this->rank_queues)
    {
        shared_used
            += queue.get_waiting() - std::min(queue.get_waiting(), reserved);
    }
    return this->queue_of(rank).get_waiting() < reserved
        || shared_used < this->bounds.get_shared();
}

/// Finds the ticket to remove from a full queue for a new one: the last one of
/// the least urgent lower rank that uses shared capacity, else one of the same
/// rank whose account has more waiting tickets than that of the new one would
/// have.
std::optional<admission_ticket> admission_queue::find_displaced(
    const admission_ticket& ticket) const
{
    const core::rank rank = ticket.get_rank();
    for (const core::rank other :
        { core::rank::background, core::rank::standard })
    {
        const rank_queue& queue = this->queue_of(other);
        if (other > rank && queue.get_waiting() > this->bounds.get_reserved())
        {
            return queue.last();
        }
    }
    const rank_queue& own = this->queue_of(rank);
    const auto last = own.last();
    const bool is_larger = last
        && own.get_waiting(last->get_account())
            > own.get_waiting(ticket.get_account()) + 1;
    return is_larger ? last : std::nullopt;
}

std::optional<core::rank> admission_queue::choose_rank(
    const admission_limits& limits, core::time_point now) const
{
    const auto is_waiting = [&](core::rank rank) {
        return this->queue_of(rank).get_waiting() > 0;
    };
    const bool is_urgent_first = is_waiting(core::rank::urgent)
        && !this->is_urgent_over_limit(limits, now);
    if (is_urgent_first)
    {
        return core::rank::urgent;
    }
    std::optional<core::rank> chosen;
    for (const core::rank rank : minimum_share_ranks)
    {
        const double credit = this->credits[core::index_of(rank)];
        if (is_waiting(rank) && credit >= 1
            && (!chosen || credit > this->credits[core::index_of(*chosen)]))
        {
            chosen = rank;
        }
    }
    for (const core::rank rank : core::all_ranks)
    {
        if (!chosen && is_waiting(rank))
        {
            chosen = rank;
        }
    }
    return chosen;
}

void admission_queue::update_credits(
    core::rank admitted, const admission_limits& limits)
{
    for (const core::rank rank : minimum_share_ranks)
    {
        double& credit = this->credits[core::index_of(rank)];
        const bool is_waiting = this->queue_of(rank).get_waiting() > 0;
        credit = is_waiting ? credit + limits.get_minimum_share(rank) : 0;
        credit -= rank == admitted ? 1 : 0;
        credit = std::clamp(credit, 0.0, max_credit);
    }
}

void admission_queue::count_urgent_offer(core::time_point now)
{
    const double window = core::to_seconds(urgent_rate_window);
    this->urgent_offers = this->urgent_offers_per_second(now) * window + 1;
    this->urgent_counted_at = now;
}

double admission_queue::urgent_offers_per_second(core::time_point now) const
{
    const double window = core::to_seconds(urgent_rate_window);
    const double age = core::to_seconds(now - this->urgent_counted_at);
    return this->urgent_offers * std::exp(-age / window) / window;
}

/// True if urgent requests were refused within `refusal_window` and their rate
/// exceeds what the limit can serve. The rate includes refused requests, so
/// that the minimum shares, which cause refusals themselves, end when the load
/// does.
bool admission_queue::is_urgent_over_limit(
    const admission_limits& limits, core::time_point now) const
{
    if (!this->urgent_refused_at
        || now - *this->urgent_refused_at > refusal_window)
    {
        return false;
    }
    return this->urgent_offers_per_second(now) * this->service_seconds
        > limits.get_concurrency();
}

} // namespace pollenward::caller
