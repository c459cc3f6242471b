#pragma once

#include "core/runtime_clock.hpp"
#include "upstream/send_sample.hpp"

#include <algorithm>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <utility>
#include <vector>

namespace pollenward::upstream {

/// The load that a worker reported, and when.
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

/// What a worker last stated about the requests that it accepts.
class rate_statement {
public:
    /// `per_second` counts the requests of all daemons; nothing if the worker
    /// states no limit.
    static rate_statement make(
        std::optional<double> per_second, core::time_point at)
    {
        rate_statement made;
        made.per_second = per_second;
        made.at = at;
        return made;
    }

    const std::optional<double>& get_per_second() const
    {
        return this->per_second;
    }
    core::time_point get_at() const { return this->at; }

    auto operator<=>(const rate_statement&) const = default;

private:
    std::optional<double> per_second;
    core::time_point at = core::time_point::min();
};

/// The recent requests of one or more daemons to one worker.
class worker_traffic {
public:
    /// Older samples do not show the worker's present state.
    static constexpr core::seconds max_sample_age{ 15 };
    /// Samples kept for a worker; the oldest are dropped.
    static constexpr std::size_t max_samples = 16;

    static worker_traffic make(
        send_samples samples, int in_flight, std::optional<load_hint> load)
    {
        worker_traffic made;
        made.samples = std::move(samples);
        made.in_flight = in_flight;
        made.load = load;
        return made;
    }

    /// Sorted by the time of the send.
    const send_samples& get_samples() const { return this->samples; }
    int get_in_flight() const { return this->in_flight; }
    const std::optional<load_hint>& get_load() const { return this->load; }
    const std::optional<rate_statement>& get_rate() const { return this->rate; }

    /// Requests a second that the worker accepts from all daemons together;
    /// nothing if it stated no limit recently.
    std::optional<double> rate_limit(core::time_point now) const
    {
        return this->rate && now - this->rate->get_at() <= max_sample_age
            ? this->rate->get_per_second()
            : std::nullopt;
    }

    std::optional<core::time_point> get_last_sent() const
    {
        return this->samples.empty()
            ? std::nullopt
            : std::optional(this->samples.back().get_sent_at());
    }

    worker_traffic with_send(core::time_point now) const
    {
        worker_traffic next = *this;
        next.samples.push_back(send_sample::make(now, sample_state::waiting));
        ++next.in_flight;
        return next.trimmed(now);
    }

    /// Records the end of a request that was sent at `sent_at`. Without a
    /// `state` its sample is dropped, as its end shows nothing about the
    /// worker.
    worker_traffic with_end(core::time_point sent_at,
        std::optional<sample_state> state, core::time_point now) const
    {
        worker_traffic next = *this;
        next.in_flight = std::max(0, next.in_flight - 1);
        const auto found = std::find(next.samples.begin(), next.samples.end(),
            send_sample::make(sent_at, sample_state::waiting));
        if (found != next.samples.end())
        {
            if (state)
            {
                *found = found->with_state(*state);
            }
            else
            {
                next.samples.erase(found);
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

    worker_traffic with_rate(const rate_statement& changed) const
    {
        worker_traffic next = *this;
        next.rate = changed;
        return next;
    }

    /// The traffic of both, as if one daemon had sent all of it.
    worker_traffic merged(
        const worker_traffic& other, core::time_point now) const
    {
        worker_traffic next = *this;
        next.samples.insert(
            next.samples.end(), other.samples.begin(), other.samples.end());
        std::sort(next.samples.begin(), next.samples.end());
        next.in_flight += other.in_flight;
        const bool is_newer = other.load
            && (!next.load || next.load->get_at() < other.load->get_at());
        next.load = is_newer ? other.load : next.load;
        const bool is_rate_newer = other.rate
            && (!next.rate || next.rate->get_at() < other.rate->get_at());
        next.rate = is_rate_newer ? other.rate : next.rate;
        return next.trimmed(now);
    }

    /// Whether no request is in flight and all samples are too old.
    bool is_idle(core::time_point now) const
    {
        return this->in_flight == 0 && this->trimmed(now).samples.empty()
            && !this->rate_limit(now);
    }

    auto operator<=>(const worker_traffic&) const = default;

private:
    worker_traffic trimmed(core::time_point now) const
    {
        worker_traffic next = *this;
        std::erase_if(next.samples, [&](const send_sample& each) {
            return now - each.get_sent_at() > max_sample_age;
        });
        if (next.samples.size() > max_samples)
        {
            next.samples.erase(next.samples.begin(),
                next.samples.end() - static_cast<std::ptrdiff_t>(max_samples));
        }
        return next;
    }

    send_samples samples;
    int in_flight = 0;
    std::optional<load_hint> load;
    std::optional<rate_statement> rate;
};

} // namespace pollenward::upstream
