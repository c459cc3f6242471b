#pragma once

#include "upstream/concurrency_limit.hpp"

#include <compare>

namespace pollenward::upstream {

/// One daemon's requests in flight on a worker, its concurrency limit for the
/// worker and the load that the worker reported.
class worker_load_state {
public:
    static worker_load_state make(const concurrency_limit& limit)
    {
        worker_load_state made;
        made.limit = limit;
        return made;
    }

    int get_in_flight() const { return this->in_flight; }
    const concurrency_limit& get_limit() const { return this->limit; }
    double get_reported_load() const { return this->reported_load; }

    worker_load_state with_in_flight(int count) const
    {
        worker_load_state next = *this;
        next.in_flight = count;
        return next;
    }

    worker_load_state with_limit(const concurrency_limit& learned) const
    {
        worker_load_state next = *this;
        next.limit = learned;
        return next;
    }

    worker_load_state with_reported_load(double load) const
    {
        worker_load_state next = *this;
        next.reported_load = load;
        return next;
    }

    auto operator<=>(const worker_load_state&) const = default;

private:
    int in_flight = 0;
    concurrency_limit limit;
    double reported_load = 0;
};

} // namespace pollenward::upstream
