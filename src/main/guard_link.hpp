#pragma once

#include "caller/caller_request.hpp"
#include "core/ids.hpp"
#include "fleet/guard_notice.hpp"
#include "main/fleet_port.hpp"
#include "upstream/forward_request.hpp"
#include "upstream/request_guard.hpp"

namespace pollenward::main {

/// The request guard of this daemon, joined to those of the others: each first
/// word about a crash is passed on to a few daemons, which do the same.
class guard_link {
public:
    explicit guard_link(fleet_port& fleet)
        : fleet(fleet)
    {
    }

    /// For caller::request_flow.
    bool is_blocked(const caller::caller_request& request) const;

    /// For upstream::dispatcher.
    void on_crash(const upstream::forward_request& request,
        const core::worker_id& worker);

    /// A worker answered the request, so it is not what crashed workers.
    void on_success(const upstream::forward_request& request);

    /// A peer's word about a crash.
    void on_notice(const fleet::guard_notice& notice);

    upstream::request_guard& get_guard() { return this->guard; }

private:
    void pass_on(const fleet::guard_notice& notice);

    fleet_port& fleet;
    upstream::request_guard guard;
};

} // namespace pollenward::main
