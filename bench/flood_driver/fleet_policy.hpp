#pragma once

#include "flood_plan.hpp"

#include "caller/admission_queue.hpp"
#include "fleet/service_aggregator.hpp"
#include "upstream/dispatch_state.hpp"

#include <map>
#include <memory>
#include <optional>
#include <random>
#include <vector>

namespace pollenward::bench {

struct flood_request {
    int daemon = 0;
    std::uint64_t number = 0;
    core::rank rank = core::rank::background;
    core::account_id account;
    core::time_point deadline;
    std::vector<core::worker_id> tried;
};

/// Numbers of the requests that a call of a policy admits or refuses.
struct policy_step {
    std::vector<std::uint64_t> admitted;
    std::vector<std::uint64_t> refused;
};

/// The decisions of the fleet. Reports and summaries arrive without delay.
class fleet_policy {
public:
    explicit fleet_policy(const flood_plan& plan);

    policy_step offer(const flood_request& request, core::time_point now);
    std::optional<int> choose(const flood_request& request,
        std::uint64_t random, core::time_point now);
    /// Returns whether the request is retried.
    bool end_attempt(const flood_request& request, int worker,
        upstream::attempt_result result, core::duration latency,
        core::time_point now);
    policy_step finish(const flood_request& request,
        std::optional<core::duration> service_time, core::time_point now);
    /// Must be called every 100 ms.
    void tick(int daemon, core::time_point now);

private:
    struct node {
        std::unique_ptr<upstream::dispatch_state> state
            = std::make_unique<upstream::dispatch_state>();
        std::unique_ptr<fleet::service_aggregator> aggregator;
        caller::admission_queue queue;
        fleet::rank_demand demand{};
        int ticks = 0;
    };

    caller::admission_limits limits(int daemon, core::time_point now) const;
    void admit_waiting(int daemon, policy_step& step, core::time_point now);
    void report(int daemon, core::time_point now);

    std::vector<node> nodes;
    std::vector<upstream::usable_worker> standings;
    std::map<core::worker_id, int> indexes;
    std::vector<int> aggregator_of_zone;
    std::uint64_t sequence = 0;
};

/// Sends each request at once to a random worker, whatever its rank, and
/// retries up to three times.
class naive_policy {
public:
    explicit naive_policy(const flood_plan& plan)
        : workers(plan.workers)
    {
    }

    policy_step offer(const flood_request& request, core::time_point /*now*/)
    {
        return { { request.number }, {} };
    }

    std::optional<int> choose(const flood_request& /*request*/,
        std::uint64_t random, core::time_point /*now*/)
    {
        return static_cast<int>(random % this->workers);
    }

    bool end_attempt(const flood_request& request, int /*worker*/,
        upstream::attempt_result result, core::duration /*latency*/,
        core::time_point now)
    {
        return result == upstream::attempt_result::refused_shed
            && request.tried.size() <= 3 && now < request.deadline;
    }

    policy_step finish(const flood_request& /*request*/,
        std::optional<core::duration> /*service_time*/,
        core::time_point /*now*/)
    {
        return {};
    }

    void tick(int /*daemon*/, core::time_point /*now*/) { }

private:
    std::uint64_t workers;
};

} // namespace pollenward::bench
