#pragma once

#include "core/runtime_clock.hpp"

#include <compare>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace pollenward::caller {

/// The outcome of a request, as reported to its caller.
enum class outcome_kind {
    /// The complete response of the worker follows.
    answered,
    /// The request did not run and will not run.
    not_run,
    /// The request may have run.
    unknown
};

constexpr std::string_view to_string(outcome_kind kind)
{
    switch (kind)
    {
    case outcome_kind::answered:
        return "answered";
    case outcome_kind::not_run:
        return "not-run";
    case outcome_kind::unknown:
        break;
    }
    return "unknown";
}

/// The outcome of one request with its HTTP status. Outcomes other than
/// answered have a reason; a retry time is optional for not_run.
class outcome {
public:
    static outcome answered(unsigned status)
    {
        return outcome(outcome_kind::answered, status, {}, std::nullopt);
    }

    static outcome not_run(unsigned status, std::string reason,
        std::optional<core::milliseconds> retry_after = std::nullopt)
    {
        return outcome(
            outcome_kind::not_run, status, std::move(reason), retry_after);
    }

    static outcome unknown(unsigned status, std::string reason)
    {
        return outcome(
            outcome_kind::unknown, status, std::move(reason), std::nullopt);
    }

    outcome_kind get_kind() const { return this->kind; }
    unsigned get_status() const { return this->status; }
    const std::string& get_reason() const { return this->reason; }

    std::optional<core::milliseconds> get_retry_after() const
    {
        return this->retry_after;
    }

    auto operator<=>(const outcome&) const = default;

private:
    outcome(outcome_kind kind, unsigned status, std::string reason,
        std::optional<core::milliseconds> retry_after)
        : kind(kind)
        , status(status)
        , reason(std::move(reason))
        , retry_after(retry_after)
    {
    }

    outcome_kind kind;
    unsigned status;
    std::string reason;
    std::optional<core::milliseconds> retry_after;
};

} // namespace pollenward::caller
