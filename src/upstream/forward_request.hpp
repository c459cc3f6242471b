#pragma once

#include "core/header_field.hpp"
#include "core/ids.hpp"
#include "core/rank.hpp"
#include "core/runtime_clock.hpp"
#include "core/shared_text.hpp"
#include "operators/kind_settings.hpp"
#include "upstream/caller_patience.hpp"

#include <algorithm>
#include <compare>
#include <string>
#include <utility>

namespace pollenward::upstream {

/// The HTTP part of a request as it goes to a worker.
class request_message {
public:
    static request_message make(std::string method, std::string target,
        core::header_fields headers, core::shared_text body)
    {
        request_message made;
        made.method = std::move(method);
        made.target = std::move(target);
        made.headers = std::move(headers);
        made.body = std::move(body);
        return made;
    }

    const std::string& get_method() const { return this->method; }
    const std::string& get_target() const { return this->target; }
    const core::header_fields& get_headers() const { return this->headers; }
    const std::string& get_body() const { return this->body.str(); }

    auto operator<=>(const request_message&) const = default;

private:
    std::string method;
    std::string target;
    core::header_fields headers;
    core::shared_text body;
};

/// An admitted request that is to be sent to a worker of a service.
class forward_request {
public:
    static forward_request make(core::request_id id, core::service_id service,
        core::kind_id kind, core::rank rank, bool is_idempotent,
        core::time_point deadline, request_message message)
    {
        forward_request made;
        made.id = std::move(id);
        made.service = std::move(service);
        made.kind = std::move(kind);
        made.rank = rank;
        made.idempotent = is_idempotent;
        made.deadline = deadline;
        made.message = std::move(message);
        return made;
    }

    const core::request_id& get_id() const { return this->id; }
    const core::service_id& get_service() const { return this->service; }
    const core::kind_id& get_kind() const { return this->kind; }
    core::rank get_rank() const { return this->rank; }
    bool is_idempotent() const { return this->idempotent; }
    core::time_point get_deadline() const { return this->deadline; }
    const request_message& get_message() const { return this->message; }

    const caller_patience& get_patience() const { return this->patience; }
    /// The latest time at which an answer is still of use: the deadline, unless
    /// the caller waits longer.
    core::time_point get_latest_end() const
    {
        return std::max(this->deadline, this->patience.get_end());
    }

    forward_request with_patience(caller_patience changed) const
    {
        forward_request next = *this;
        next.patience = changed;
        return next;
    }

    /// Number of workers to which the request may be sent.
    int get_max_attempts() const { return this->max_attempts; }
    /// Time within which an answer has its full value for the caller; zero if
    /// the operators configured none.
    core::milliseconds get_target_latency() const
    {
        return this->target_latency;
    }

    forward_request with_limits(
        int changed_attempts, core::milliseconds changed_latency) const
    {
        forward_request next = *this;
        next.max_attempts = changed_attempts;
        next.target_latency = changed_latency;
        return next;
    }

    auto operator<=>(const forward_request&) const = default;

private:
    core::request_id id;
    core::service_id service;
    core::kind_id kind;
    core::rank rank = core::rank::background;
    bool idempotent = false;
    core::time_point deadline;
    caller_patience patience;
    int max_attempts = operators::default_max_attempts;
    core::milliseconds target_latency{};
    request_message message;
};

} // namespace pollenward::upstream
