#pragma once

#include "process/cluster.hpp"

#include <catch2/catch.hpp>

#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace pollenward::test {

/// Sends casts, each under its own request id, from several threads and records
/// the outcomes that the callers received.
class cast_load {
public:
    explicit cast_load(const cluster& system)
        : system(system)
    {
    }

    /// Sends `count` casts through the given daemons in turn.
    void run(int count, const std::vector<int>& daemons)
    {
        constexpr int thread_count = 4;
        std::vector<std::jthread> threads;
        for (int t = 0; t < thread_count; ++t)
        {
            threads.emplace_back([this, t, count, daemons] {
                for (int i = t; i < count; i += thread_count)
                {
                    const int daemon
                        = daemons[static_cast<std::size_t>(i) % daemons.size()];
                    this->send(daemon, "cast-" + std::to_string(i));
                }
            });
        }
    }

    void send(int daemon, const std::string& id)
    {
        const auto reply = this->system.send_cast(daemon, id);
        const std::lock_guard lock(this->mutex);
        // A broken connection leaves the outcome unknown to the caller.
        this->outcomes_by_id[id].push_back(
            reply ? reply->outcome() : "unknown");
    }

    int count(const std::string& outcome) const
    {
        int total = 0;
        for (const auto& [id, outcomes] : this->outcomes_by_id)
        {
            for (const std::string& each : outcomes)
            {
                total += each == outcome ? 1 : 0;
            }
        }
        return total;
    }

    /// Compares the outcomes that callers received with the workers' records of
    /// runs. `has_lost_records` is true if a worker was killed and its record
    /// is lost.
    void check_runs(const std::map<std::string, int>& runs,
        bool has_lost_records = false) const
    {
        for (const auto& [id, outcomes] : this->outcomes_by_id)
        {
            const auto found = runs.find(id);
            const int run_count = found == runs.end() ? 0 : found->second;
            INFO(id << " ran " << run_count << " times, first outcome "
                    << outcomes.front());
            CHECK(run_count <= 1);
            int answered = 0;
            int not_run = 0;
            for (const std::string& outcome : outcomes)
            {
                answered += outcome == "answered" ? 1 : 0;
                not_run += outcome == "not-run" ? 1 : 0;
            }
            CHECK(answered <= 1);
            if (answered == 1 && !has_lost_records)
            {
                CHECK(run_count == 1);
            }
            if (not_run == static_cast<int>(outcomes.size()))
            {
                CHECK(run_count == 0);
            }
        }
    }

private:
    const cluster& system;
    std::mutex mutex;
    std::map<std::string, std::vector<std::string>> outcomes_by_id;
};

} // namespace pollenward::test
