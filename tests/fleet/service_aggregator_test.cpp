#include "fleet/aggregator_selection.hpp"
#include "fleet/service_aggregator.hpp"

#include <catch2/catch.hpp>

#include <string>

using namespace pollenward;
using namespace pollenward::fleet;

namespace {

const core::time_point start{ core::seconds(1000) };
const core::service_id service("votes");

std::vector<zone_daemon> daemons()
{
    std::vector<zone_daemon> all;
    all.reserve(6);
    for (int i = 0; i < 6; ++i)
    {
        all.push_back(
            zone_daemon::make(core::daemon_id("d" + std::to_string(i)),
                core::zone_id("z" + std::to_string(i % 2))));
    }
    return all;
}

service_view view()
{
    std::vector<upstream::worker> workers;
    workers.reserve(5);
    for (int i = 0; i < 5; ++i)
    {
        workers.push_back(
            upstream::worker::make(core::worker_id("w" + std::to_string(i)), {},
                core::zone_id("z" + std::to_string(i)), false));
    }
    return service_view::make(
        workers, {}, 0.6, core::slot_count(6), {}, daemons());
}

/// Worker 0 fails, the others do not.
evidence_report report(report_level level, const std::string& source,
    const std::string& zone, std::uint64_t sequence)
{
    std::vector<evidence_entry> entries;
    entries.reserve(5);
    for (int i = 0; i < 5; ++i)
    {
        entries.push_back(
            evidence_entry::make(core::worker_id("w" + std::to_string(i)),
                i == 0 ? upstream::evidence_counts::make(0, 20, 0, 20)
                       : upstream::evidence_counts::make(20, 0, 20, 0)));
    }
    return evidence_report::make(level, source, core::zone_id(zone), service,
        sequence, entries, { 0, 4, 0 });
}

} // namespace

TEST_CASE("each zone with live daemons has one aggregator", "[aggregator]")
{
    const auto found = select_aggregators(service, daemons());
    REQUIRE(found.size() == 2);
    for (const auto& each : found)
    {
        CHECK(select_aggregator(service, each.get_zone(), daemons())
            == each.get_daemon());
    }
    CHECK_FALSE(select_aggregator(service, core::zone_id("none"), daemons()));
}

// Guards against aggregators that eject on the evidence of their own zone only
// or announce an ejection never or repeatedly, and against a reply without a
// share.
TEST_CASE("an aggregator ejects on evidence from two zones", "[aggregator]")
{
    service_aggregator aggregator(core::zone_id("z0"), 0);
    aggregator.store_view(service, view());
    const auto later = start + core::seconds(1);
    aggregator.on_report(report(report_level::zone, "z1", "z1", 1), start);
    CHECK_FALSE(aggregator.take_ejection_notice(service, start));
    const auto reply = aggregator.on_report(
        report(report_level::daemon, "d0", "z0", 1), later);
    REQUIRE(reply.get_verdicts().size() == 1);
    CHECK(
        reply.get_verdicts()[0].get_state() == upstream::worker_state::ejected);
    // 24 slots are left; demand is 4 in each zone, so 16 are free.
    CHECK(reply.get_share() == Approx(4 + 16));
    CHECK_FALSE(reply.is_overloaded());
    CHECK(aggregator.take_ejection_notice(service, later));
    CHECK_FALSE(aggregator.take_ejection_notice(service, later));
}

// Guards against wrong replies to reports that arrive before the daemon has the
// inputs of the service, or after it stopped being the aggregator.
TEST_CASE(
    "an aggregator without a view replies without a share", "[aggregator]")
{
    service_aggregator aggregator(core::zone_id("z0"), 0);
    const auto reply = aggregator.on_report(
        report(report_level::daemon, "d0", "z0", 1), start);
    CHECK(reply.get_share() == 0);
    CHECK(reply.get_verdicts().empty());
    aggregator.remove(service);
    CHECK_FALSE(aggregator.find(service));
}

// Guards against summaries of a new aggregator that are discarded as old ones.
TEST_CASE("a summary number grows with the wall clock", "[aggregator]")
{
    service_aggregator before(core::zone_id("z0"), 5'000'000);
    service_aggregator after(core::zone_id("z0"), 5'100'000);
    CHECK(before.summary(service, start + core::seconds(99)).get_sequence()
        < after.summary(service, start).get_sequence());
}
