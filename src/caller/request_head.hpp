#pragma once

#include "caller/caller_request.hpp"
#include "core/error.hpp"
#include "core/ids.hpp"
#include "core/runtime_clock.hpp"
#include "operators/kind_settings.hpp"
#include "upstream/forward_request.hpp"

#include <compare>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace pollenward::caller {

/// The validated header of a request, before its body is read.
class request_head {
public:
    /// Checks the values of Request-Id, Request-Timeout-Ms and Client-Account;
    /// an empty text means that the field is absent.
    static std::optional<request_head> create(std::string_view id_text,
        std::string_view timeout_text, std::string_view account_text,
        const operators::kind_settings& kind, core::milliseconds max_timeout,
        core::time_point now, core::error& reason);

    const core::request_id& get_id() const { return this->id; }
    const operators::kind_settings& get_kind() const { return this->kind; }
    core::time_point get_deadline() const { return this->deadline; }

    /// The complete request, whose message has been read by `now`.
    caller_request with_message(
        upstream::request_message message, core::time_point now) const
    {
        return caller_request::make(this->id, this->id_from_caller,
            this->account, this->kind, this->deadline, std::move(message))
            .with_patience(
                upstream::caller_patience::make(now, this->caller_timeout));
    }

    /// The header of a caller that waits so long, whatever the timeout of its
    /// kind.
    request_head with_caller_timeout(core::milliseconds timeout) const
    {
        request_head next = *this;
        next.caller_timeout = timeout;
        return next;
    }

    auto operator<=>(const request_head&) const = default;

private:
    core::request_id id;
    bool id_from_caller = false;
    core::account_id account;
    operators::kind_settings kind;
    core::time_point deadline;
    core::milliseconds caller_timeout{};
};

} // namespace pollenward::caller
