#include "main/document_applier.hpp"

#include "caller/claim_roster_json.hpp"
#include "main/document_names.hpp"
#include "operators/configuration_json.hpp"
#include "platform/host_list_json.hpp"

#include <easylogging++.h>

#include <utility>
#include <vector>

namespace pollenward::main {

void document_applier::on_document(const fleet::document& accepted)
{
    const core::document_name& name = accepted.get_name();
    if (name == configuration_document)
    {
        this->apply_configuration(accepted);
    }
    else if (name == roster_document)
    {
        this->apply_roster(accepted);
    }
    else if (name == fleet_hosts_document)
    {
        this->apply_fleet_hosts(accepted);
    }
    else if (const auto service = parse_hosts_document(name))
    {
        this->apply_workers(*service, accepted);
    }
}

void document_applier::apply_configuration(const fleet::document& accepted)
{
    std::vector<core::error> faults;
    const auto next
        = operators::decode_configuration(accepted.get_body(), faults);
    if (!next)
    {
        LOG(ERROR) << "configuration " << accepted.get_version()
                   << " rejected: " << faults.front();
        return;
    }
    if (this->configuration.store(*next))
    {
        this->fleet.set_version_in_force(next->get_number());
        LOG(INFO) << "configuration " << next->get_number() << " in force";
    }
}

void document_applier::apply_roster(const fleet::document& accepted)
{
    core::error reason;
    const auto next = caller::decode_claim_roster(accepted.get_body(), reason);
    if (!next)
    {
        LOG(ERROR) << "claim roster rejected: " << reason;
        return;
    }
    this->claims.install_roster(*next, core::runtime_clock::now());
}

void document_applier::apply_fleet_hosts(const fleet::document& accepted)
{
    core::error reason;
    const auto rows = platform::decode_host_list(accepted.get_body(), reason);
    if (!rows)
    {
        LOG(ERROR) << "list of daemons rejected: " << reason;
        return;
    }
    this->fleet.set_hosts(*rows);
}

void document_applier::apply_workers(
    const core::service_id& service, const fleet::document& accepted)
{
    core::error reason;
    const auto rows = platform::decode_host_list(accepted.get_body(), reason);
    if (!rows)
    {
        LOG(ERROR) << "list of workers of " << service
                   << " rejected: " << reason;
        return;
    }
    std::vector<upstream::worker> listed;
    for (const platform::host_entry& row : *rows)
    {
        listed.push_back(upstream::worker::make(core::worker_id(row.get_id()),
            row.get_address(), row.get_zone(), row.is_leaving()));
    }
    this->workers.store(service, std::move(listed));
}

} // namespace pollenward::main
