#pragma once

#include "core/runtime_clock.hpp"

#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

namespace pollenward::bench {

/// Runs actions in the order of virtual time; equal times in order of entry.
class event_queue {
public:
    core::time_point now() const { return this->present; }

    void after(core::duration delay, std::function<void()> action)
    {
        this->events.push(
            event{ this->present + delay, this->entered++, std::move(action) });
    }

    void run_until(core::time_point end)
    {
        while (!this->events.empty() && this->events.top().due <= end)
        {
            const event next = this->events.top();
            this->events.pop();
            this->present = next.due;
            next.action();
        }
        this->present = end;
    }

private:
    struct event {
        core::time_point due;
        std::uint64_t order;
        std::function<void()> action;

        bool operator<(const event& other) const
        {
            return this->due != other.due ? this->due > other.due
                                          : this->order > other.order;
        }
    };

    // Time zero is left out: some rules treat the least times as "never".
    core::time_point present{ core::seconds(1000) };
    std::uint64_t entered = 0;
    std::priority_queue<event> events;
};

} // namespace pollenward::bench
