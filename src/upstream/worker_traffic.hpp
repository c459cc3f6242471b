#pragma once

#include "core/runtime_clock.hpp"
#include "upstream/exchange_trace.hpp"

#include <algorithm>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <utility>
#include <vector>

namespace pollenward::upstream {

/// What a worker said of its load, and when.
class load_hint {
public:
    static load_hint make(double running, double waiting, core::time_point at)
    {
        load_hint made;
        made.running = running;
        made.waiting = waiting;
        made.at = at;
        return made;
    }

    double get_running() const { return this->running; }
    double get_waiting() const { return this->waiting; }
    core::time_point get_at() const { return this->at; }

    auto operator<=>(const load_hint&) const = default;

private:
    double running = 0;
    double waiting = 0;
    core::time_point at = core::time_point::min();
};

/// The requests that some daemons sent to one worker lately.
class worker_traffic {
public:
    /// Older traces say nothing about the present.
    static constexpr core::seconds trace_age{ 15 };
    /// Traces kept for a worker. The newest decide.
    static constexpr std::size_t most_traces = 16;

    static worker_traffic make(
        exchange_traces traces, int in_flight, std::optional<load_hint> load)
    {
        worker_traffic made;
        made.traces = std::move(traces);
        made.in_flight = in_flight;
        made.load = load;
        return made;
    }

    /// Sorted by the time of the send.
    const exchange_traces& get_traces() const { return this->traces; }
    int get_in_flight() const { return this->in_flight; }
    const std::optional<load_hint>& get_load() const { return this->load; }

    std::optional<core::time_point> get_last_sent() const
    {
        return this->traces.empty()
            ? std::nullopt
            : std::optional(this->traces.back().get_sent_at());
    }

    worker_traffic with_send(core::time_point now) const
    {
        worker_traffic next = *this;
        next.traces.push_back(exchange_trace::make(now, trace_state::waiting));
        ++next.in_flight;
        return next.trimmed(now);
    }

    /// The end of a request that was sent at `sent_at`. Nothing as the state
    /// means that its end says nothing about the worker.
    worker_traffic with_end(core::time_point sent_at,
        std::optional<trace_state> state, core::time_point now) const
    {
        worker_traffic next = *this;
        next.in_flight = std::max(0, next.in_flight - 1);
        const auto found = std::find(next.traces.begin(), next.traces.end(),
            exchange_trace::make(sent_at, trace_state::waiting));
        if (found != next.traces.end())
        {
            if (state)
            {
                *found = found->with_state(*state);
            }
            else
            {
                next.traces.erase(found);
            }
        }
        return next.trimmed(now);
    }

    worker_traffic with_load(const load_hint& changed) const
    {
        worker_traffic next = *this;
        next.load = changed;
        return next;
    }

    /// Both together, as if one daemon had sent all of it.
    worker_traffic merged(
        const worker_traffic& other, core::time_point now) const
    {
        worker_traffic next = *this;
        next.traces.insert(
            next.traces.end(), other.traces.begin(), other.traces.end());
        std::sort(next.traces.begin(), next.traces.end());
        next.in_flight += other.in_flight;
        const bool is_newer = other.load
            && (!next.load || next.load->get_at() < other.load->get_at());
        next.load = is_newer ? other.load : next.load;
        return next.trimmed(now);
    }

    /// Nothing in it is of use any more.
    bool is_idle(core::time_point now) const
    {
        return this->in_flight == 0 && this->trimmed(now).traces.empty();
    }

    auto operator<=>(const worker_traffic&) const = default;

private:
    worker_traffic trimmed(core::time_point now) const
    {
        worker_traffic next = *this;
        std::erase_if(next.traces, [&](const exchange_trace& each) {
            return now - each.get_sent_at() > trace_age;
        });
        if (next.traces.size() > most_traces)
        {
            next.traces.erase(next.traces.begin(),
                next.traces.end() - static_cast<std::ptrdiff_t>(most_traces));
        }
        return next;
    }

    exchange_traces traces;
    int in_flight = 0;
    std::optional<load_hint> load;
};

} // namespace pollenward::upstream
