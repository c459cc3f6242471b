#pragma once

#include "../decision_driver/event_queue.hpp"
#include "fleet_policy.hpp"
#include "flood_plan.hpp"

#include <concepts>
#include <queue>
#include <random>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace pollenward::bench {

template <class Policy>
concept flood_policy = std::constructible_from<Policy, const flood_plan&>
    && requires(Policy& policy, const flood_request& request,
        upstream::attempt_result result, core::time_point now) {
           {
               policy.offer(request, now)
           } -> std::same_as<policy_step>;
           {
               policy.choose(request, 0, now)
           } -> std::same_as<std::optional<int>>;
           {
               policy.end_attempt(request, 0, result, core::duration(), now)
           } -> std::same_as<bool>;
           {
               policy.finish(request, std::nullopt, now)
           } -> std::same_as<policy_step>;
           policy.tick(0, now);
       };

/// Simulates callers and workers for a policy in virtual time.
template <flood_policy Policy>
class flood_simulation {
public:
    explicit flood_simulation(const flood_plan& plan)
        : plan(plan)
        , random(plan.seed)
        , policy(this->plan)
        , workers(plan.workers)
    {
    }

    /// Returns the counts of each phase. A request counts in the phase in which
    /// it was offered.
    std::vector<flood_counts> run()
    {
        this->counts.resize(this->plan.phases.size());
        for (int i = 0; i < this->plan.daemons; ++i)
        {
            this->events.run_after(this->uniform(core::milliseconds(100)),
                [this, i] { this->tick(i); });
        }
        for (this->phase = 0; this->phase < this->plan.phases.size();
             ++this->phase)
        {
            const auto end
                = this->events.now() + this->plan.phases[this->phase].length;
            for (const core::rank rank : core::all_ranks)
            {
                this->schedule(rank, false, this->phase);
            }
            if (this->plan.has_small_accounts)
            {
                this->schedule(core::rank::background, true, this->phase);
            }
            this->events.run_until(end);
        }
        this->events.run_until(this->events.now() + deadline);
        return this->counts;
    }

private:
    struct entry {
        flood_request request;
        std::size_t phase = 0;
        std::size_t kind = 0;
        core::time_point arrived;
    };

    struct fake_worker {
        int running = 0;
        std::queue<std::pair<std::uint64_t, core::time_point>> waiting;
    };

    core::duration uniform(core::duration limit)
    {
        return core::duration(std::uniform_int_distribution<std::int64_t>(
            0, limit.count())(this->random));
    }

    core::duration exponential(double mean_seconds)
    {
        return std::chrono::duration_cast<core::duration>(
            std::chrono::duration<double>(std::exponential_distribution<double>(
                1 / mean_seconds)(this->random)));
    }

    void tick(int daemon)
    {
        this->policy.tick(daemon, this->events.now());
        this->events.run_after(
            core::milliseconds(100), [this, daemon] { this->tick(daemon); });
    }

    void schedule(core::rank rank, bool is_small, std::size_t during)
    {
        const double rate = is_small ? small_accounts
                                     : this->plan.capacity()
                * this->plan.phases[during].loads[core::index_of(rank)];
        if (rate <= 0)
        {
            return;
        }
        this->events.run_after(
            this->exponential(1 / rate), [this, rank, is_small, during] {
                if (this->phase == during)
                {
                    this->arrive(rank, is_small);
                    this->schedule(rank, is_small, during);
                }
            });
    }

    void arrive(core::rank rank, bool is_small)
    {
        entry made;
        made.request.daemon = std::uniform_int_distribution<int>(
            0, this->plan.daemons - 1)(this->random);
        made.request.number = ++this->last_number;
        made.request.rank = rank;
        made.request.account = core::account_id(is_small
                ? "small-" + std::to_string(this->random() % small_accounts)
                : "large");
        made.request.deadline = this->events.now() + deadline;
        made.phase = this->phase;
        made.kind = is_small ? core::rank_count : core::index_of(rank);
        made.arrived = this->events.now();
        ++this->counts[made.phase][made.kind].offered;
        const auto request = made.request;
        this->requests.emplace(request.number, std::move(made));
        this->apply(this->policy.offer(request, this->events.now()));
    }

    class_counts& counts_of(const entry& each)
    {
        return this->counts[each.phase][each.kind];
    }

    void apply(const policy_step& step)
    {
        for (const std::uint64_t number : step.refused)
        {
            const entry& each = this->requests.at(number);
            this->counts_of(each).refused_at_once
                += each.arrived == this->events.now() ? 1 : 0;
            this->requests.erase(number);
        }
        for (const std::uint64_t number : step.admitted)
        {
            ++this->counts_of(this->requests.at(number)).sent;
            this->attempt(number);
        }
    }

    void attempt(std::uint64_t number)
    {
        entry& each = this->requests.at(number);
        const auto chosen = this->policy.choose(
            each.request, this->random(), this->events.now());
        if (!chosen)
        {
            this->end(number, std::nullopt);
            return;
        }
        ++this->counts_of(each).attempts;
        each.request.tried.emplace_back("worker-" + std::to_string(*chosen));
        this->events.run_after(this->plan.delay(each.request.daemon, *chosen),
            [this, number, worker = *chosen, sent = this->events.now()] {
                this->receive(number, worker, sent);
            });
    }

    void receive(std::uint64_t number, int index, core::time_point sent)
    {
        fake_worker& worker = this->workers[index];
        if (worker.running < slots_per_worker)
        {
            this->serve(number, index, sent);
        }
        else if (worker.waiting.size() < queue_per_worker)
        {
            worker.waiting.emplace(number, sent);
        }
        else
        {
            this->reply(
                number, index, sent, upstream::attempt_result::refused_shed);
        }
    }

    void serve(std::uint64_t number, int index, core::time_point sent)
    {
        ++this->workers[index].running;
        this->events.run_after(
            this->exponential(core::to_seconds(service_time)),
            [this, number, index, sent] {
                fake_worker& worker = this->workers[index];
                --worker.running;
                this->reply(
                    number, index, sent, upstream::attempt_result::answered);
                if (!worker.waiting.empty())
                {
                    const auto next = worker.waiting.front();
                    worker.waiting.pop();
                    this->serve(next.first, index, next.second);
                }
            });
    }

    void reply(std::uint64_t number, int index, core::time_point sent,
        upstream::attempt_result result)
    {
        const int daemon = this->requests.at(number).request.daemon;
        this->events.run_after(this->plan.delay(daemon, index),
            [this, number, index, sent, result] {
                const auto now = this->events.now();
                entry& each = this->requests.at(number);
                if (this->policy.end_attempt(
                        each.request, index, result, now - sent, now))
                {
                    this->attempt(number);
                    return;
                }
                const bool is_answered
                    = result == upstream::attempt_result::answered;
                this->counts_of(each).in_time
                    += is_answered && now <= each.request.deadline ? 1 : 0;
                this->end(number,
                    is_answered ? std::optional(now - sent) : std::nullopt);
            });
    }

    void end(std::uint64_t number, std::optional<core::duration> time)
    {
        const auto request = this->requests.at(number).request;
        this->requests.erase(number);
        this->apply(this->policy.finish(request, time, this->events.now()));
    }

    const flood_plan plan;
    std::mt19937_64 random;
    event_queue events;
    Policy policy;
    std::vector<fake_worker> workers;
    std::unordered_map<std::uint64_t, entry> requests;
    std::vector<flood_counts> counts;
    std::size_t phase = 0;
    std::uint64_t last_number = 0;
};

} // namespace pollenward::bench
