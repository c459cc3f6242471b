#pragma once

#include "core/error.hpp"
#include "core/header_field.hpp"
#include "core/ids.hpp"
#include "core/runtime_clock.hpp"
#include "core/shared_text.hpp"
#include "upstream/attempt_result.hpp"

#include <compare>
#include <optional>
#include <string>
#include <utility>

namespace pollenward::upstream {

/// A whole response from a worker.
class response_message {
public:
    static response_message make(
        unsigned status, core::header_fields headers, core::shared_text body)
    {
        response_message made;
        made.status = status;
        made.headers = std::move(headers);
        made.body = std::move(body);
        return made;
    }

    unsigned get_status() const { return this->status; }
    const core::header_fields& get_headers() const { return this->headers; }
    const std::string& get_body() const { return this->body.str(); }
    const core::shared_text& get_shared_body() const { return this->body; }

    response_message with_body(core::shared_text changed) const
    {
        return make(this->status, this->headers, std::move(changed));
    }

    auto operator<=>(const response_message&) const = default;

private:
    unsigned status = 0;
    core::header_fields headers;
    core::shared_text body;
};

/// How a forwarded request ended after all its attempts. `certainty` is
/// run_certainty::not_run only if every attempt was certainly not run.
class dispatch_result {
public:
    static dispatch_result answered(response_message response)
    {
        dispatch_result made;
        made.certainty = run_certainty::ran;
        made.response = std::move(response);
        return made;
    }

    static dispatch_result failed(run_certainty certainty, core::error cause)
    {
        dispatch_result made;
        made.certainty = certainty;
        made.cause = std::move(cause);
        return made;
    }

    /// A copy with the time after which a worker accepts requests again.
    dispatch_result with_retry_after(std::optional<core::duration> time) const
    {
        dispatch_result next = *this;
        next.retry_after = time;
        return next;
    }

    /// Nothing if it is not known.
    const std::optional<core::duration>& get_retry_after() const
    {
        return this->retry_after;
    }

    run_certainty get_certainty() const { return this->certainty; }
    const core::error& get_cause() const { return this->cause; }

    const std::optional<response_message>& get_response() const
    {
        return this->response;
    }

    /// Whether a worker ran the request without a failure of its own.
    bool is_success() const
    {
        constexpr unsigned first_server_error = 500;
        return this->response
            && this->response->get_status() < first_server_error;
    }

    auto operator<=>(const dispatch_result&) const = default;

private:
    run_certainty certainty = run_certainty::not_run;
    std::optional<response_message> response;
    core::error cause;
    std::optional<core::duration> retry_after;
};

} // namespace pollenward::upstream
