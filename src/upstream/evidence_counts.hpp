#pragma once

#include <compare>

namespace pollenward::upstream {

/// Successes and failures of real requests on one worker, decayed exponentially
/// with two time constants: 1 s (fast) and 10 s (slow).
class evidence_counts {
public:
    static evidence_counts make(double fast_successes, double fast_failures,
        double slow_successes, double slow_failures)
    {
        evidence_counts made;
        made.fast_successes = fast_successes;
        made.fast_failures = fast_failures;
        made.slow_successes = slow_successes;
        made.slow_failures = slow_failures;
        return made;
    }

    double get_fast_successes() const { return this->fast_successes; }
    double get_fast_failures() const { return this->fast_failures; }
    double get_slow_successes() const { return this->slow_successes; }
    double get_slow_failures() const { return this->slow_failures; }

    evidence_counts operator+(const evidence_counts& other) const
    {
        return make(this->fast_successes + other.fast_successes,
            this->fast_failures + other.fast_failures,
            this->slow_successes + other.slow_successes,
            this->slow_failures + other.slow_failures);
    }

    auto operator<=>(const evidence_counts&) const = default;

private:
    double fast_successes = 0;
    double fast_failures = 0;
    double slow_successes = 0;
    double slow_failures = 0;
};

} // namespace pollenward::upstream
