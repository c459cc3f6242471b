#pragma once

#include "event_queue.hpp"
#include "scenario.hpp"

#include <array>
#include <concepts>
#include <optional>
#include <random>
#include <vector>

namespace pollenward::bench {

/// Result of a run.
struct run_result {
    /// Time from the start of the fault until all daemons have the worker
    /// ejected.
    std::optional<core::duration> detected;
    /// Number of healthy workers that any aggregator or daemon ejected.
    int false_ejections = 0;
    control_traffic traffic;
};

template <class Detector>
concept detector
    = std::constructible_from<Detector, event_queue&, const scenario&>
    && requires(Detector& each, const Detector& seen, int daemon, int worker,
        upstream::attempt_result result, unsigned status) {
           each.start();
           each.record(daemon, worker, result, status, 0);
           {
               seen.weights(daemon)
           } -> std::same_as<std::vector<double>>;
           {
               seen.is_ejected(daemon, worker)
           } -> std::same_as<bool>;
           {
               seen.was_ejected(worker)
           } -> std::same_as<bool>;
           {
               seen.traffic()
           } -> std::same_as<control_traffic>;
       };

/// Simulates workers and network paths for a detector in virtual time.
template <detector Detector>
class simulation {
public:
    explicit simulation(const scenario& plan)
        : plan(plan)
        , random(plan.seed)
        , begin(this->events.now())
        , tested_detector(this->events, this->plan)
        , faulty(static_cast<int>(plan.seed % worker_count))
    {
    }

    run_result run()
    {
        this->tested_detector.start();
        this->schedule_arrival();
        this->schedule_check();
        this->events.run_until(this->begin + this->plan.length);
        run_result made;
        made.detected = this->detected;
        for (int i = 0; i < worker_count; ++i)
        {
            const bool is_faulty
                = this->plan.fault != worker_fault::none && i == this->faulty;
            made.false_ejections
                += !is_faulty && this->tested_detector.was_ejected(i) ? 1 : 0;
        }
        made.traffic = this->tested_detector.traffic();
        return made;
    }

private:
    core::duration now() const { return this->events.now() - this->begin; }

    core::duration exponential(core::duration mean)
    {
        std::exponential_distribution<double> distribution(
            1 / core::to_seconds(mean));
        return std::chrono::duration_cast<core::duration>(
            std::chrono::duration<double>(distribution(this->random)));
    }

    bool chance(double probability)
    {
        return std::bernoulli_distribution(probability)(this->random);
    }

    void schedule_arrival()
    {
        const bool is_flood = this->now() >= this->plan.flood_start
            && this->now() < this->plan.flood_end;
        const double rate = load * worker_count * slots_per_worker
            * (is_flood ? this->plan.flood_factor : 1);
        const auto mean
            = std::chrono::duration_cast<core::duration>(service_time / rate);
        this->events.run_after(this->exponential(mean), [this] {
            this->arrive();
            this->schedule_arrival();
        });
    }

    void schedule_check()
    {
        this->events.run_after(core::milliseconds(5), [this] {
            if (!this->detected && this->now() >= this->plan.fault_start
                && this->is_ejected_everywhere())
            {
                this->detected = this->now() - this->plan.fault_start;
            }
            this->schedule_check();
        });
    }

    bool is_ejected_everywhere() const
    {
        for (int i = 0; i < daemon_count; ++i)
        {
            if (!this->tested_detector.is_ejected(i, this->faulty))
            {
                return false;
            }
        }
        return this->plan.fault != worker_fault::none;
    }

    void arrive()
    {
        const int daemon = std::uniform_int_distribution<int>(
            0, daemon_count - 1)(this->random);
        const auto weights = this->tested_detector.weights(daemon);
        const int worker = std::discrete_distribution<int>(
            weights.begin(), weights.end())(this->random);
        ++this->in_flight[daemon];
        const auto delay = this->plan.delay({ host::role::daemon, daemon },
            { host::role::worker, worker }, this->now());
        if (!delay)
        {
            this->finish(daemon, worker, this->plan.cut_delay,
                upstream::attempt_result::not_sent, 0);
            return;
        }
        const auto sent = this->events.now();
        this->events.run_after(*delay, [this, daemon, worker, sent] {
            this->serve(daemon, worker, sent);
        });
    }

    void finish(int daemon, int worker, core::duration delay,
        upstream::attempt_result result, unsigned status)
    {
        this->events.run_after(delay, [this, daemon, worker, result, status] {
            --this->in_flight[daemon];
            this->tested_detector.record(
                daemon, worker, result, status, this->in_flight[daemon]);
        });
    }

    bool is_failing(int worker) const
    {
        const auto since = this->now() - this->plan.fault_start;
        const bool is_on = this->plan.fault != worker_fault::none
            && worker == this->faulty && since >= core::duration::zero();
        // A flapping worker fails for 2 s, then works for 2 s.
        return is_on
            && (this->plan.fault != worker_fault::flapping
                || (since / core::seconds(2)) % 2 == 0);
    }

    void serve(int daemon, int worker, core::time_point sent)
    {
        if (this->running[worker] >= slots_per_worker)
        {
            this->reply(daemon, worker, sent,
                upstream::attempt_result::refused_shed, 503);
            return;
        }
        const bool is_bad = this->is_failing(worker);
        const auto fault = is_bad ? this->plan.fault : worker_fault::none;
        core::duration time = this->exponential(service_time);
        unsigned status = this->chance(background_failure_share) ? 500 : 200;
        if (fault == worker_fault::all || fault == worker_fault::flapping
            || (fault == worker_fault::three_in_ten && this->chance(0.3)))
        {
            status = 500;
        }
        if (fault == worker_fault::slow)
        {
            time = this->exponential(service_time * 20);
        }
        if (fault == worker_fault::silent)
        {
            // Longer than any caller's timeout.
            time = core::seconds(60);
        }
        ++this->running[worker];
        const auto waited = this->events.now() - sent;
        const bool is_late = waited + time > attempt_limit;
        // The daemon cancels the request at the limit, which frees the slot.
        const auto busy = is_late ? attempt_limit - waited : time;
        this->events.run_after(std::max(busy, core::duration::zero()),
            [this, daemon, worker, sent, status, is_late] {
                --this->running[worker];
                this->reply(daemon, worker, sent,
                    is_late ? upstream::attempt_result::silent
                            : upstream::attempt_result::answered,
                    status);
            });
    }

    void reply(int daemon, int worker, core::time_point sent,
        upstream::attempt_result result, unsigned status)
    {
        const auto delay = this->plan.delay({ host::role::worker, worker },
            { host::role::daemon, daemon }, this->now());
        const auto waited = this->events.now() - sent;
        const bool is_lost = !delay || waited + *delay > attempt_limit
            || result == upstream::attempt_result::silent;
        const auto left
            = std::max(attempt_limit - waited, core::duration::zero());
        this->finish(daemon, worker, is_lost ? left : *delay,
            is_lost ? upstream::attempt_result::silent : result, status);
    }

    const scenario plan;
    random_source random;
    event_queue events;
    core::time_point begin;
    Detector tested_detector;
    int faulty;
    std::array<int, worker_count> running{};
    std::array<int, daemon_count> in_flight{};
    std::optional<core::duration> detected;
};

} // namespace pollenward::bench
