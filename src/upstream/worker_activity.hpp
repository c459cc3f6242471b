#pragma once

#include "upstream/concurrency_limit.hpp"

#include <compare>

namespace pollenward::upstream {

/// What one daemon does on a worker and what it learned from it.
class worker_activity {
public:
    static worker_activity make(const concurrency_limit& limit)
    {
        worker_activity made;
        made.limit = limit;
        return made;
    }

    int get_in_flight() const { return this->in_flight; }
    const concurrency_limit& get_limit() const { return this->limit; }
    double get_hinted_load() const { return this->hinted_load; }

    worker_activity with_in_flight(int count) const
    {
        worker_activity next = *this;
        next.in_flight = count;
        return next;
    }

    worker_activity with_limit(const concurrency_limit& learned) const
    {
        worker_activity next = *this;
        next.limit = learned;
        return next;
    }

    worker_activity with_hinted_load(double load) const
    {
        worker_activity next = *this;
        next.hinted_load = load;
        return next;
    }

    auto operator<=>(const worker_activity&) const = default;

private:
    int in_flight = 0;
    concurrency_limit limit;
    double hinted_load = 0;
};

} // namespace pollenward::upstream
