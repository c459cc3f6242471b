#pragma once

#include "caller/claim_answer.hpp"
#include "caller/claim_parameters.hpp"
#include "caller/claim_record.hpp"
#include "caller/claim_roster.hpp"
#include "main/fleet_network.hpp"

#include <boost/asio/awaitable.hpp>

#include <optional>
#include <vector>

namespace pollenward::main {

/// Sends claims to their owners over the fleet; a caller::claim_transport.
class claim_client {
public:
    explicit claim_client(fleet_network& fleet)
        : fleet(fleet)
    {
    }

    boost::asio::awaitable<caller::claim_answer> request_claim(
        core::daemon_id owner, caller::claim_parameters parameters);

    void settle_claim(const core::daemon_id& owner,
        const caller::claim_parameters& parameters, caller::claim_state state);

    boost::asio::awaitable<std::optional<std::vector<caller::claim_record>>>
    fetch_claims(core::daemon_id owner, caller::claim_partition partition,
        core::version_number version);

    bool is_majority_reachable(const caller::claim_roster& roster) const;

private:
    fleet_network& fleet;
};

} // namespace pollenward::main
