#pragma once

#include "core/runtime_clock.hpp"

#include <algorithm>
#include <compare>
#include <cstdint>

namespace pollenward::operators {

/// Bounds the lines that one kind of event may write: a steady rate and a
/// burst. It counts what it leaves out.
class line_budget {
public:
    static line_budget make(double lines_per_second, double burst)
    {
        line_budget made;
        made.rate = lines_per_second;
        made.burst = burst;
        made.lines = burst;
        return made;
    }

    /// The budget at a later time.
    line_budget at(core::time_point now) const
    {
        line_budget next = *this;
        const double elapsed
            = std::max(0.0, core::to_seconds(now - this->last));
        next.lines = std::min(this->burst, this->lines + elapsed * this->rate);
        next.last = now;
        return next;
    }

    bool allows_line() const { return this->lines >= 1; }
    std::uint64_t get_left_out() const { return this->left_out; }

    line_budget with_line() const
    {
        line_budget next = *this;
        next.lines -= 1;
        next.left_out = 0;
        return next;
    }

    line_budget with_left_out() const
    {
        line_budget next = *this;
        ++next.left_out;
        return next;
    }

    auto operator<=>(const line_budget&) const = default;

private:
    double rate = 0;
    double burst = 0;
    double lines = 0;
    core::time_point last;
    std::uint64_t left_out = 0;
};

} // namespace pollenward::operators
