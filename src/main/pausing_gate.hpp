#pragma once

#include "caller/admission_decision.hpp"
#include "caller/caller_request.hpp"
#include "core/runtime_clock.hpp"
#include "upstream/placement_state.hpp"

#include <boost/asio/awaitable.hpp>

#include <optional>
#include <utility>

namespace pollenward::main {

/// Refuses the requests of a service at once while all its workers pause, since
/// none of them can be served until the first pause ends; passes the others on
/// to the gate. A caller::admission.
template <class Gate>
class pausing_gate {
public:
    pausing_gate(Gate& gate, const upstream::placement_state& placement)
        : gate(gate)
        , placement(placement)
    {
    }

    boost::asio::awaitable<caller::admission_decision> admit(
        const caller::caller_request& request)
    {
        const auto pause = this->placement.shortest_pause(
            request.get_kind().get_service(), core::runtime_clock::now());
        if (pause)
        {
            co_return caller::admission_decision::paused(*pause);
        }
        co_return co_await this->gate.admit(request);
    }

    void finish(const core::service_id& service,
        const caller::admission_ticket& ticket,
        std::optional<core::duration> service_time)
    {
        this->gate.finish(service, ticket, service_time);
    }

private:
    Gate& gate;
    const upstream::placement_state& placement;
};

} // namespace pollenward::main
