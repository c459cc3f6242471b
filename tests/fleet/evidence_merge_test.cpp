#include "fleet/evidence_merge.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <cstdlib>
#include <map>
#include <string>

using namespace pollenward;
using namespace pollenward::fleet;

namespace {

// RapidCheck reads its seed at the first check; a set RC_PARAMS is kept.
const int fixed_seed = setenv("RC_PARAMS", "seed=1", 0);

const core::time_point start{ core::seconds(1000) };
const core::service_id service("votes");
const core::zone_id own_zone("z0");

evidence_report report(report_level level, const std::string& source,
    const std::string& zone, std::uint64_t sequence)
{
    // The content depends on the sequence number only, as at a real source.
    const auto failures = static_cast<double>(sequence);
    return evidence_report::make(level, source, core::zone_id(zone), service,
        sequence,
        { evidence_entry::make(core::worker_id("w"),
            upstream::evidence_counts::make(1, failures, 1, failures)) },
        { 0, failures, 0 });
}

evidence_report any_report()
{
    const auto sequence = *rc::gen::inRange<std::uint64_t>(1, 20);
    const auto number = std::to_string(*rc::gen::inRange(0, 4));
    return *rc::gen::arbitrary<bool>()
        ? report(report_level::daemon, "d" + number, own_zone.str(), sequence)
        : report(report_level::zone, "z" + number, "z" + number, sequence);
}

} // namespace

// Guards against sums that depend on the order, the repetition or the loss of
// reports. The oracle keeps the report with the highest number of each source.
TEST_CASE("order and repetition of reports do not matter", "[merge][property]")
{
    const bool holds = rc::check([] {
        std::vector<evidence_report> reports;
        for (int i = *rc::gen::inRange(0, 40); i > 0; --i)
        {
            reports.push_back(any_report());
        }
        auto merge = evidence_merge::make(own_zone);
        for (const auto& each : reports)
        {
            merge = merge.with_report(each, start);
        }
        std::map<std::string, evidence_report> newest;
        for (const auto& each : reports)
        {
            const bool is_own_summary = each.get_source() == own_zone.str();
            auto& kept
                = newest.try_emplace(each.get_source(), each).first->second;
            if (is_own_summary)
            {
                newest.erase(each.get_source());
            }
            else if (each.get_sequence() > kept.get_sequence())
            {
                kept = each;
            }
        }
        const auto sources = merge.sources(start);
        RC_ASSERT(sources.size() == newest.size());
        for (const auto& each : sources)
        {
            RC_ASSERT(each.counts_of(core::worker_id("w"))
                == newest.at(each.get_source())
                       .get_entries()
                       .front()
                       .get_counts());
        }
        std::reverse(reports.begin(), reports.end());
        auto reversed = evidence_merge::make(own_zone);
        for (const auto& each : reports)
        {
            reversed = reversed.with_report(each, start);
        }
        RC_ASSERT(reversed == merge);
    });
    CHECK(holds);
}

// Guards against evidence of daemons that are gone, and against a zone that
// stops reporting and is treated as one without traffic.
TEST_CASE("reports expire and their zone is then without evidence", "[merge]")
{
    const auto merge
        = evidence_merge::make(own_zone)
              .with_report(report(report_level::daemon, "d1", "z0", 1), start)
              .with_report(report(report_level::zone, "z1", "z1", 1), start);
    CHECK(merge.sources(start + core::milliseconds(4999)).size() == 2);
    CHECK(
        merge.zones_without_evidence(start + core::milliseconds(4999)).empty());
    const auto later = start + core::seconds(5);
    CHECK(merge.sources(later).empty());
    CHECK(merge.without_expired(later).zones_without_evidence(later)
        == std::vector{ core::zone_id("z1") });
    CHECK(merge.zones_without_evidence(start + zone_retention).empty());
}

// Guards against a zone that is cut off, and so has no evidence, being treated
// as one without traffic: the few zones left would decide alone.
TEST_CASE("a zone with demand but no evidence is reported as such", "[merge]")
{
    const core::zone_id z1("z1");
    const auto summary = [&](double demand) {
        return evidence_merge::make(own_zone).with_report(
            evidence_report::make(
                report_level::zone, "z1", z1, service, 1, {}, { 0, demand, 0 }),
            start);
    };
    CHECK(summary(3).zones_without_evidence(start) == std::vector{ z1 });
    CHECK(summary(0).zones_without_evidence(start).empty());
}

TEST_CASE("a summary adds up the daemons of the zone", "[merge]")
{
    const auto merge
        = evidence_merge::make(own_zone)
              .with_report(report(report_level::daemon, "d1", "z0", 2), start)
              .with_report(report(report_level::daemon, "d2", "z0", 3), start)
              .with_report(report(report_level::zone, "z1", "z1", 9), start);
    const auto summary = merge.zone_summary(service, 7, start);
    CHECK(summary.get_source() == "z0");
    CHECK(summary.get_sequence() == 7);
    CHECK(summary.get_demand() == rank_demand{ 0, 5, 0 });
    REQUIRE(summary.get_entries().size() == 1);
    CHECK(
        summary.get_entries()[0].get_counts().get_slow_failures() == Approx(5));
}
