#pragma once

#include "caller/claim_service.hpp"
#include "fleet/document.hpp"
#include "main/claim_client.hpp"
#include "main/configuration_in_force.hpp"
#include "main/fleet_network.hpp"
#include "upstream/worker_directory.hpp"

namespace pollenward::main {

using claim_service = caller::claim_service<claim_client>;

/// Applies accepted documents to this daemon; a fleet::document_observer.
class document_applier {
public:
    document_applier(configuration_in_force& configuration,
        upstream::worker_directory& workers, claim_service& claims,
        fleet_network& fleet)
        : configuration(configuration)
        , workers(workers)
        , claims(claims)
        , fleet(fleet)
    {
    }

    void on_document(const fleet::document& accepted);

private:
    void apply_configuration(const fleet::document& accepted);
    void apply_roster(const fleet::document& accepted);
    void apply_fleet_hosts(const fleet::document& accepted);
    void apply_workers(
        const core::service_id& service, const fleet::document& accepted);

    configuration_in_force& configuration;
    upstream::worker_directory& workers;
    claim_service& claims;
    fleet_network& fleet;
};

} // namespace pollenward::main
