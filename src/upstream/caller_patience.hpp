#pragma once

#include "core/runtime_clock.hpp"

#include <compare>

namespace pollenward::upstream {

/// How long the caller of a request waits for its answer.
class caller_patience {
public:
    /// `whole_at` is when the last byte of the request arrived, `time` what the
    /// caller waits from then on.
    static caller_patience make(core::time_point whole_at, core::duration time)
    {
        caller_patience made;
        made.whole_at = whole_at;
        made.time = time;
        return made;
    }

    core::time_point get_whole_at() const { return this->whole_at; }
    core::duration get_time() const { return this->time; }
    core::time_point get_end() const { return this->whole_at + this->time; }

    auto operator<=>(const caller_patience&) const = default;

private:
    core::time_point whole_at;
    core::duration time{};
};

} // namespace pollenward::upstream
