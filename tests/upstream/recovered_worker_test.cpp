#include "upstream/fault_estimate.hpp"
#include "upstream/worker_placement.hpp"
#include "upstream/worker_traffic.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <iostream>
#include <queue>
#include <random>
#include <vector>

using namespace pollenward;
using namespace pollenward::upstream;

namespace {

using core::milliseconds;

/// A worker that hangs for a part of each period, as gray failures do.
struct gray_worker {
    /// Time since the end of its last faulty phase; nothing in one.
    std::optional<milliseconds> sound_for(milliseconds now) const
    {
        const milliseconds in_period = (now + this->phase) % period;
        return in_period < faulty ? std::nullopt
                                  : std::optional(in_period - faulty);
    }

    static constexpr milliseconds period{ 9000 };
    static constexpr milliseconds faulty{ 2700 };
    milliseconds phase{};
    worker_traffic traffic;
    std::vector<milliseconds> sends;
};

struct send_end {
    milliseconds at{};
    milliseconds sent_at{};
    std::size_t worker = 0;
    sample_state state = sample_state::answered;

    bool operator>(const send_end& other) const { return this->at > other.at; }
};

/// One zone whose requests must not run twice: nine workers, and 30 requests a
/// second of which two in three are urgent.
class zone_simulation {
public:
    explicit zone_simulation(std::uint64_t seed)
        : random(seed)
        , workers(worker_count)
    {
        for (gray_worker& each : this->workers)
        {
            each.phase = this->draw(gray_worker::period);
        }
    }

    void run(milliseconds length)
    {
        constexpr milliseconds mean_gap{ 33 };
        for (milliseconds now{}; now < length; now += this->draw(2 * mean_gap))
        {
            this->end_sends(now);
            this->send(now);
        }
    }

    const std::vector<gray_worker>& get_workers() const
    {
        return this->workers;
    }

private:
    static constexpr std::size_t worker_count = 9;
    static constexpr milliseconds median{ 350 };

    milliseconds draw(milliseconds below)
    {
        return milliseconds(std::uniform_int_distribution<std::int64_t>(
            0, below.count() - 1)(this->random));
    }

    static core::time_point at(milliseconds time)
    {
        return core::time_point(std::chrono::hours(1) + time);
    }

    void end_sends(milliseconds now)
    {
        while (!this->pending.empty() && this->pending.top().at <= now)
        {
            const send_end ended = this->pending.top();
            this->pending.pop();
            worker_traffic& traffic = this->workers[ended.worker].traffic;
            traffic = traffic.with_end(
                at(ended.sent_at), ended.state, at(ended.at));
        }
    }

    void send(milliseconds now)
    {
        const auto profile = latency_profile::make({}, median);
        placement_candidates candidates;
        for (std::size_t i = 0; i < worker_count; ++i)
        {
            const worker_traffic& traffic = this->workers[i].traffic;
            const auto last = traffic.get_last_sent();
            const double faulty = faulty_probability(
                traffic.get_samples(), profile, this->model, at(now));
            candidates.push_back(placement_candidate::make(
                listed_worker::make(
                    worker::make(core::worker_id(std::to_string(i)),
                        core::endpoint(), core::zone_id("z"), false),
                    core::service_id("s"), core::slot_count(6), {}, 1, 1),
                zone_distance::same_zone, loss_probability(faulty, this->model),
                traffic.get_in_flight(),
                last ? at(now) - *last
                     : core::duration(std::chrono::hours(1))));
        }
        const bool is_urgent = this->draw(milliseconds(3)) != milliseconds(0);
        const placement_request request{ false,
            is_urgent ? core::rank::urgent : core::rank::standard, 0.35 };
        const std::size_t chosen
            = *choose_placement(candidates, request, {}, this->random());
        gray_worker& target = this->workers[chosen];
        target.traffic = target.traffic.with_send(at(now));
        target.sends.push_back(now);
        constexpr milliseconds deadline{ 6000 };
        const bool is_lost
            = !target.sound_for(now) && this->draw(milliseconds(4)).count() < 3;
        this->pending.push({ now
                + (is_lost ? deadline
                           : median / 2 + this->draw(milliseconds(median))),
            now, chosen,
            is_lost ? sample_state::failed : sample_state::answered });
    }

    std::mt19937_64 random;
    gray_failure_model model;
    std::vector<gray_worker> workers;
    std::priority_queue<send_end, std::vector<send_end>, std::greater<>>
        pending;
};

bool has_send(const gray_worker& each, milliseconds from, milliseconds to)
{
    const auto first
        = std::lower_bound(each.sends.begin(), each.sends.end(), from);
    return first != each.sends.end() && *first < to;
}

} // namespace

// Guards against healthy capacity that is lost for long to an old failure:
// workers that had recovered got no requests while others failed.
TEST_CASE("recovered workers get requests again within seconds", "[upstream]")
{
    constexpr milliseconds window{ 2000 };
    constexpr milliseconds length{ 60'000 };
    constexpr milliseconds start{ 10'000 };
    constexpr double floor_share = 0.7;
    for (std::uint64_t seed = 1; seed <= 5; ++seed)
    {
        std::vector<gray_worker> service;
        for (std::uint64_t zone = 0; zone < 6; ++zone)
        {
            zone_simulation simulation(seed * 100 + zone);
            simulation.run(length);
            service.insert(service.end(), simulation.get_workers().begin(),
                simulation.get_workers().end());
        }
        double least = 1;
        for (milliseconds from = start; from + window < length;
             from += milliseconds(250))
        {
            double sound = 0;
            double used = 0;
            for (const gray_worker& each : service)
            {
                // Sound for the whole window, and recovered 2 s before it.
                const auto since = each.sound_for(from + window);
                const bool is_sound = since && *since >= 2 * window;
                sound += is_sound ? 1 : 0;
                used += is_sound && has_send(each, from, from + window) ? 1 : 0;
            }
            least = std::min(least, used / sound);
        }
        std::cout << "seed " << seed << " least share " << least << "\n";
        CHECK(least >= floor_share);
    }
}
