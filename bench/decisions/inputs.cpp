#include "inputs.hpp"

#include <utility>

namespace pollenward::bench {

namespace {

    constexpr int routes_per_service = 8;
    const core::service_id service("service-1");

    operators::service_settings make_service(int number)
    {
        core::error reason;
        return *operators::service_settings::create(
            core::service_id("service-" + std::to_string(number)), 0.5,
            core::slot_count(6), 400, { 0, 0.2, 0.1 }, reason);
    }

    operators::kind_settings make_kind(int number)
    {
        core::error reason;
        return *operators::kind_settings::create(
            core::kind_id("kind-" + std::to_string(number)),
            core::service_id(
                "service-" + std::to_string(number / routes_per_service)),
            true, core::rank::standard, core::milliseconds(2000),
            core::byte_count(65536), reason);
    }

    operators::route make_route(int number)
    {
        core::error reason;
        return *operators::route::create("GET",
            "/area-" + std::to_string(number % 40) + "/items-"
                + std::to_string(number),
            core::kind_id("kind-" + std::to_string(number)), reason);
    }

} // namespace

core::daemon_id daemon_name(int number)
{
    return core::daemon_id("daemon-" + std::to_string(number));
}

core::worker_id worker_name(int number)
{
    return core::worker_id("worker-" + std::to_string(number));
}

core::zone_id zone_name(int number, int zones)
{
    return core::zone_id("zone-" + std::to_string(number % zones));
}

core::endpoint address_of(int number)
{
    core::error reason;
    return *core::endpoint::create("10.1." + std::to_string(number / 250) + "."
            + std::to_string(number % 250) + ":7000",
        reason);
}

operators::configuration make_configuration(int routes)
{
    std::vector<operators::service_settings> services;
    services.reserve(routes / routes_per_service);
    std::vector<operators::kind_settings> kinds;
    std::vector<operators::route> declared;
    for (int i = 0; i < routes / routes_per_service; ++i)
    {
        services.push_back(make_service(i));
    }
    for (int i = 0; i < routes; ++i)
    {
        kinds.push_back(make_kind(i));
        declared.push_back(make_route(i));
    }
    std::vector<core::error> reasons;
    return *operators::configuration::create(core::version_number(40000),
        std::move(services), std::move(kinds), std::move(declared),
        core::milliseconds(10000), {}, reasons);
}

std::string path_of_route(int route)
{
    return "/area-" + std::to_string(route % 40) + "/items-"
        + std::to_string(route) + "/17";
}

std::vector<upstream::worker> make_workers(int count, int zones)
{
    std::vector<upstream::worker> made;
    made.reserve(count);
    for (int i = 0; i < count; ++i)
    {
        made.push_back(upstream::worker::make(
            worker_name(i), address_of(i), zone_name(i, zones), false));
    }
    return made;
}

std::vector<upstream::subset_daemon> make_subset_daemons(int count, int zones)
{
    std::vector<upstream::subset_daemon> made;
    made.reserve(count);
    for (int i = 0; i < count; ++i)
    {
        made.push_back(
            upstream::subset_daemon::make(daemon_name(i), zone_name(i, zones)));
    }
    return made;
}

std::vector<fleet::zone_daemon> make_zone_daemons(int count, int zones)
{
    std::vector<fleet::zone_daemon> made;
    made.reserve(count);
    for (int i = 0; i < count; ++i)
    {
        made.push_back(
            fleet::zone_daemon::make(daemon_name(i), zone_name(i, zones)));
    }
    return made;
}

caller::claim_roster make_roster(int members, int zones)
{
    std::vector<caller::roster_member> all;
    all.reserve(members);
    for (int i = 0; i < members; ++i)
    {
        all.push_back(caller::roster_member::make(daemon_name(i),
            zone_name(i, zones), core::incarnation_number(1'790'000'000'000)));
    }
    return caller::claim_roster::make(
        core::version_number(1), std::move(all), {});
}

fleet::member make_member(int number, int zones)
{
    const core::incarnation_number started(1'790'000'000'000);
    return fleet::member::make(daemon_name(number), address_of(number),
        zone_name(number, zones), started)
        .with_sequence(started, 12)
        .with_version_in_force(core::version_number(40000));
}

fleet::evidence_report make_report(
    int daemon, int workers, int zones, std::uint64_t sequence)
{
    std::vector<fleet::evidence_entry> entries;
    for (int i = 0; i < workers; ++i)
    {
        const double failures = i == 0 ? 0.2 : 0;
        entries.push_back(fleet::evidence_entry::make(worker_name(i),
            upstream::evidence_counts::make(1.5, failures, 17, failures * 5)));
    }
    return fleet::evidence_report::make(fleet::report_level::daemon,
        daemon_name(daemon).str(), zone_name(daemon, zones), service, sequence,
        std::move(entries), { 0.5, 1, 0.5 });
}

} // namespace pollenward::bench
