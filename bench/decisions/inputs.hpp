#pragma once

#include "caller/claim_roster.hpp"
#include "fleet/aggregator_selection.hpp"
#include "fleet/evidence_report.hpp"
#include "fleet/member.hpp"
#include "operators/configuration.hpp"
#include "upstream/worker.hpp"
#include "upstream/worker_subset.hpp"

#include <string>
#include <vector>

namespace pollenward::bench {

/// Target sizes from docs/design.md, section 1.4.
inline constexpr int target_daemons = 470;
inline constexpr int target_zones = 12;
inline constexpr int target_services = 300;
inline constexpr int target_routes = 2400;

core::daemon_id daemon_name(int number);
core::worker_id worker_name(int number);
core::zone_id zone_name(int number, int zones);
core::endpoint address_of(int number);

/// Makes a configuration with one service per eight routes and one kind per
/// route.
operators::configuration make_configuration(int routes);

/// Path of a request that matches the route with this number.
std::string path_of_route(int route);

std::vector<upstream::worker> make_workers(int count, int zones);
std::vector<upstream::subset_daemon> make_subset_daemons(int count, int zones);
std::vector<fleet::zone_daemon> make_zone_daemons(int count, int zones);
caller::claim_roster make_roster(int members, int zones);
fleet::member make_member(int number, int zones);

/// Makes the report of one daemon about all workers, with few failures.
fleet::evidence_report make_report(
    int daemon, int workers, int zones, std::uint64_t sequence);

} // namespace pollenward::bench
