#pragma once

#include "core/ids.hpp"
#include "upstream/usable_worker.hpp"

#include <atomic>
#include <compare>
#include <concepts>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <utility>
#include <vector>

namespace pollenward::upstream {

/// A worker with this daemon's information about its load.
class worker_candidate {
public:
    /// `in_flight` is the number of this daemon's requests on the worker and
    /// `limit` its bound. `hinted_load`, which the worker reports, only breaks
    /// ties.
    static worker_candidate make(usable_worker standing, int in_flight,
        double limit, double hinted_load);

    const usable_worker& get_standing() const { return this->standing; }
    int get_in_flight() const { return this->in_flight; }
    double get_limit() const { return this->limit; }
    double get_hinted_load() const { return this->hinted_load; }

    bool has_room() const { return this->in_flight < this->limit; }

    /// Share of the limit that is in use after one more request is sent.
    double get_next_load() const { return (this->in_flight + 1) / this->limit; }

    auto operator<=>(const worker_candidate&) const = default;

private:
    usable_worker standing;
    int in_flight = 0;
    double limit = 1;
    double hinted_load = 0;
};

using worker_candidates = std::vector<worker_candidate>;

/// The candidates that may get the request: neither leaving, ejected nor tried
/// before, and on trial only for idempotent requests. If any of them are below
/// their limit, only those are returned.
worker_candidates eligible_workers(const worker_candidates& candidates,
    const std::vector<core::worker_id>& tried, bool is_idempotent);

/// Picks the index of one of several eligible workers; `random` is uniform.
template <class Type>
concept balancing_policy = requires(
    Type& policy, const worker_candidates& eligible, std::uint64_t random) {
    {
        policy.pick(eligible, random)
    } -> std::same_as<std::size_t>;
};

/// Draws two workers with probabilities proportional to their weights and
/// picks the one with the smaller load (Mitzenmacher, 2001). The weight applies
/// to the draw only: dividing the load by it would leave a worker on trial
/// without requests while the others are idle.
class least_loaded_of_two {
public:
    std::size_t pick(
        const worker_candidates& eligible, std::uint64_t random) const;
};

/// Picks the workers in turn, whatever their load. The baseline that tests
/// compare other policies with.
class round_robin {
public:
    std::size_t pick(
        const worker_candidates& eligible, std::uint64_t /*random*/)
    {
        return this->next.fetch_add(1) % eligible.size();
    }

private:
    std::atomic<std::size_t> next{ 0 };
};

/// The worker that gets the request, or nothing if none may get it.
template <balancing_policy Policy>
std::optional<worker> choose_worker(Policy& policy,
    const worker_candidates& candidates,
    const std::vector<core::worker_id>& tried, bool is_idempotent,
    std::uint64_t random)
{
    const auto eligible = eligible_workers(candidates, tried, is_idempotent);
    if (eligible.empty())
    {
        return std::nullopt;
    }
    return eligible[policy.pick(eligible, random)].get_standing().get_worker();
}

} // namespace pollenward::upstream
