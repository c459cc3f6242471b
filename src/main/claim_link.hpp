#pragma once

#include "caller/claim_answer.hpp"
#include "caller/claim_parameters.hpp"
#include "caller/claim_record.hpp"
#include "caller/claim_roster.hpp"
#include "main/fleet_port.hpp"

#include <boost/asio/awaitable.hpp>

#include <optional>
#include <vector>

namespace pollenward::main {

/// Carries claims to their owners over the fleet; a caller::claim_transport.
class claim_link {
public:
    explicit claim_link(fleet_port& fleet)
        : fleet(fleet)
    {
    }

    boost::asio::awaitable<caller::claim_answer> ask(
        core::daemon_id owner, caller::claim_parameters question);

    void tell(const core::daemon_id& owner,
        const caller::claim_parameters& question, caller::claim_state state);

    boost::asio::awaitable<std::optional<std::vector<caller::claim_record>>>
    copy(core::daemon_id owner, caller::claim_partition partition,
        core::version_number version);

    bool hears_majority(const caller::claim_roster& roster) const;

private:
    fleet_port& fleet;
};

} // namespace pollenward::main
