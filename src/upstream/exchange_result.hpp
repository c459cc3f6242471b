#pragma once

#include "core/error.hpp"
#include "upstream/attempt_result.hpp"
#include "upstream/dispatch_result.hpp"

#include <compare>
#include <optional>
#include <utility>

namespace pollenward::upstream {

/// How one HTTP exchange with a worker ended.
class exchange_result {
public:
    static exchange_result answered(response_message response)
    {
        exchange_result made;
        made.result = attempt_result::answered;
        made.response = std::move(response);
        return made;
    }

    static exchange_result failed(attempt_result result, core::error cause)
    {
        exchange_result made;
        made.result = result;
        made.cause = std::move(cause);
        return made;
    }

    /// A copy whose response, if there is one, has this body.
    exchange_result with_body(core::shared_text body) const
    {
        exchange_result next = *this;
        if (next.response)
        {
            next.response = next.response->with_body(std::move(body));
        }
        return next;
    }

    /// A copy with the requests a second that the worker stated to accept.
    exchange_result with_rate_limit(std::optional<double> per_second) const
    {
        exchange_result next = *this;
        next.rate_limit = per_second;
        return next;
    }

    /// Requests a second that the worker accepts from all daemons together;
    /// nothing if its answer states no limit.
    const std::optional<double>& get_rate_limit() const
    {
        return this->rate_limit;
    }

    /// A copy with what the worker said of itself: that it leaves, and for how
    /// many seconds it wants no requests, not a number if that is unreadable.
    exchange_result with_notices(
        bool is_leaving, std::optional<double> pause_seconds) const
    {
        exchange_result next = *this;
        next.leaving = is_leaving;
        next.pause_seconds = pause_seconds;
        return next;
    }

    bool is_leaving() const { return this->leaving; }
    const std::optional<double>& get_pause_seconds() const
    {
        return this->pause_seconds;
    }

    attempt_result get_result() const { return this->result; }
    const core::error& get_cause() const { return this->cause; }

    const std::optional<response_message>& get_response() const
    {
        return this->response;
    }

    /// Status of the answer, 0 if there is none.
    unsigned get_status() const
    {
        return this->response ? this->response->get_status() : 0;
    }

    auto operator<=>(const exchange_result&) const = default;

private:
    attempt_result result = attempt_result::not_sent;
    std::optional<response_message> response;
    std::optional<double> rate_limit;
    bool leaving = false;
    std::optional<double> pause_seconds;
    core::error cause;
};

} // namespace pollenward::upstream
