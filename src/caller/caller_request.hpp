#pragma once

#include "core/ids.hpp"
#include "core/runtime_clock.hpp"
#include "operators/kind_settings.hpp"
#include "upstream/forward_request.hpp"

#include <utility>

namespace pollenward::caller {

/// A complete request that has been validated.
class caller_request {
public:
    /// `is_id_from_caller` is true if the caller supplied the request id, so
    /// that it may send the same request again.
    static caller_request make(core::request_id id, bool is_id_from_caller,
        core::account_id account, operators::kind_settings kind,
        core::time_point deadline, upstream::request_message message)
    {
        caller_request made;
        made.id = std::move(id);
        made.id_from_caller = is_id_from_caller;
        made.account = std::move(account);
        made.kind = std::move(kind);
        made.deadline = deadline;
        made.message = std::move(message);
        return made;
    }

    const core::request_id& get_id() const { return this->id; }
    bool is_id_from_caller() const { return this->id_from_caller; }
    const core::account_id& get_account() const { return this->account; }
    const operators::kind_settings& get_kind() const { return this->kind; }
    core::time_point get_deadline() const { return this->deadline; }

    /// Nothing is known of it by default; the deadline holds then.
    const upstream::caller_patience& get_patience() const
    {
        return this->patience;
    }

    caller_request with_patience(upstream::caller_patience changed) const
    {
        caller_request next = *this;
        next.patience = changed;
        return next;
    }

    const upstream::request_message& get_message() const
    {
        return this->message;
    }

    auto operator<=>(const caller_request&) const = default;

private:
    core::request_id id;
    bool id_from_caller = false;
    core::account_id account;
    operators::kind_settings kind;
    core::time_point deadline;
    upstream::caller_patience patience;
    upstream::request_message message;
};

} // namespace pollenward::caller
