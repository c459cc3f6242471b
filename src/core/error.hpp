#pragma once

#include <compare>
#include <ostream>
#include <string>
#include <utility>

namespace pollenward::core {

/// Why an operation failed: the step, the peer (an endpoint, a file, or
/// "self"), and the cause.
class error {
public:
    /// No error.
    error() = default;

    static error make(std::string step, std::string peer, std::string cause)
    {
        error made;
        made.step = std::move(step);
        made.peer = std::move(peer);
        made.cause = std::move(cause);
        return made;
    }

    const std::string& get_step() const { return this->step; }
    const std::string& get_peer() const { return this->peer; }
    const std::string& get_cause() const { return this->cause; }

    /// "step with peer: cause", for log lines and messages to operators.
    std::string describe() const
    {
        return this->step + " with " + this->peer + ": " + this->cause;
    }

    auto operator<=>(const error&) const = default;

    friend std::ostream& operator<<(std::ostream& out, const error& value)
    {
        return out << value.describe();
    }

private:
    std::string step;
    std::string peer;
    std::string cause;
};

} // namespace pollenward::core
