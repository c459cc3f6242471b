#pragma once

#include "core/runtime_clock.hpp"

#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

namespace pollenward::bench {

/// Runs actions in order of virtual time, and in order of insertion at equal
/// times.
class event_queue {
public:
    core::time_point now() const { return this->current_time; }

    void run_after(core::duration delay, std::function<void()> action)
    {
        this->events.push(event{ this->current_time + delay, this->next_order++,
            std::move(action) });
    }

    void run_until(core::time_point end)
    {
        while (!this->events.empty() && this->events.top().due <= end)
        {
            const event next = this->events.top();
            this->events.pop();
            this->current_time = next.due;
            next.action();
        }
        this->current_time = end;
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

    // Starts above zero, since some rules treat the lowest times as "never".
    core::time_point current_time{ core::seconds(1000) };
    std::uint64_t next_order = 0;
    std::priority_queue<event> events;
};

} // namespace pollenward::bench
