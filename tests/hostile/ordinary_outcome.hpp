#pragma once

#include <compare>
#include <string>
#include <utility>

namespace pollenward::hostile {

/// How the request of an ordinary caller ended.
class ordinary_outcome {
public:
    static ordinary_outcome make(
        int tries, unsigned status, bool is_from_worker, std::string cause)
    {
        ordinary_outcome made;
        made.tries = tries;
        made.status = status;
        made.from_worker = is_from_worker;
        made.cause = std::move(cause);
        return made;
    }

    int get_tries() const { return this->tries; }
    /// Whether a worker has run the request and the caller has its answer.
    bool is_served() const { return this->from_worker && this->status == 200; }

    std::string to_text() const
    {
        return std::to_string(this->status)
            + (this->from_worker ? " of a worker" : " of the daemon")
            + " in try " + std::to_string(this->tries)
            + (this->cause.empty() ? "" : " (" + this->cause + ")");
    }

    auto operator<=>(const ordinary_outcome&) const = default;

private:
    int tries = 0;
    /// 0 without an answer.
    unsigned status = 0;
    bool from_worker = false;
    std::string cause;
};

} // namespace pollenward::hostile
