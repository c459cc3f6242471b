#pragma once

#include "process/cluster.hpp"

#include <catch2/catch.hpp>

#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace pollenward::test {

/// Sends casts under ids of their own, from several threads, and keeps what
/// the callers were told.
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
        const auto reply = this->system.cast(daemon, id);
        const std::lock_guard lock(this->mutex);
        // A broken connection tells the caller nothing.
        this->told[id].push_back(reply ? reply->outcome() : "unknown");
    }

    int count(const std::string& outcome) const
    {
        int total = 0;
        for (const auto& [id, outcomes] : this->told)
        {
            for (const std::string& each : outcomes)
            {
                total += each == outcome ? 1 : 0;
            }
        }
        return total;
    }

    /// Compares what callers were told with the workers' records of runs.
    /// `has_lost_records` tells that a worker was killed with its record.
    void check(const std::map<std::string, int>& runs,
        bool has_lost_records = false) const
    {
        for (const auto& [id, outcomes] : this->told)
        {
            const auto found = runs.find(id);
            const int ran = found == runs.end() ? 0 : found->second;
            INFO(id << " ran " << ran << " times, first outcome "
                    << outcomes.front());
            CHECK(ran <= 1);
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
                CHECK(ran == 1);
            }
            if (not_run == static_cast<int>(outcomes.size()))
            {
                CHECK(ran == 0);
            }
        }
    }

private:
    const cluster& system;
    std::mutex mutex;
    std::map<std::string, std::vector<std::string>> told;
};

} // namespace pollenward::test
