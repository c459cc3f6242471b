#include "operators/configuration_json.hpp"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace pollenward;
using namespace pollenward::operators;

namespace {

const std::string valid = R"({
    "number": 3, "max_timeout_ms": 1000,
    "services": [{"id": "s", "floor": 0.5, "slots_per_worker": 6,
        "connections_per_worker": 400}],
    "kinds": [{"id": "k", "service": "s", "idempotent": true,
        "rank": "urgent", "timeout_ms": 100, "max_body_bytes": 10}],
    "routes": [{"method": "GET", "path_prefix": "/", "kind": "k"}],
    "patches": ["p1"]})";

std::string replaced(const std::string& from, const std::string& to)
{
    std::string text = valid;
    text.replace(text.find(from), from.size(), to);
    return text;
}

} // namespace

TEST_CASE(
    "a configuration is unchanged by encoding and decoding", "[operators]")
{
    std::vector<core::error> faults;
    const auto decoded = decode_configuration(valid, faults);
    REQUIRE(decoded);
    CHECK(faults.empty());
    CHECK(decoded->get_number() == core::version_number(3));
    const auto again
        = decode_configuration(encode_configuration(*decoded), faults);
    REQUIRE(again);
    CHECK(*again == *decoded);
}

// Guards against a daemon that drops a setting when it forwards a
// configuration.
TEST_CASE("all settings of kinds, routes and callers are read", "[operators]")
{
    std::string text = replaced("\"max_body_bytes\": 10}",
        "\"max_body_bytes\": 10, \"target_latency_ms\": 70, "
        "\"max_attempts\": 2, \"split\": [{\"service\": \"s\", "
        "\"weight\": 0.25}]}");
    text.insert(text.find("\"method\""), "\"host\": \"one.example\", ");
    text.insert(1,
        "\"ingress\": {\"header_bytes\": 1, \"body_bytes\": 2, "
        "\"header_time_ms\": 3, \"idle_ms\": 4}, ");
    std::vector<core::error> faults;
    const auto decoded = decode_configuration(text, faults);
    REQUIRE(decoded);
    const auto kind = decoded->get_kinds().front();
    CHECK(kind.get_target_latency() == core::milliseconds(70));
    CHECK(kind.get_max_attempts() == 2);
    CHECK(kind.get_split()
        == std::vector<service_weight>{
            service_weight::make(core::service_id("s"), 0.25) });
    CHECK(decoded->get_routes().front().get_host() == "one.example");
    CHECK(decoded->get_ingress_limits()
        == ingress_limits::make(core::byte_count(1), core::byte_count(2),
            core::milliseconds(3), core::milliseconds(4)));
    CHECK(decode_configuration(encode_configuration(*decoded), faults)
        == decoded);
}

// Guards against a configuration that is accepted partially.
TEST_CASE("each fault is reported with its path", "[operators]")
{
    const auto faults_of = [](const std::string& text) {
        std::vector<core::error> faults;
        CHECK_FALSE(decode_configuration(text, faults));
        std::string all;
        for (const auto& fault : faults)
        {
            all += fault.describe() + "\n";
        }
        return all;
    };
    using Catch::Contains;
    CHECK_THAT(faults_of(replaced("\"urgent\"", "\"fast\"")),
        Contains("/kinds/0/rank"));
    CHECK_THAT(faults_of(replaced("\"floor\": 0.5", "\"floor\": 2")),
        Contains("floor is not between"));
    CHECK_THAT(faults_of(replaced("\"service\": \"s\"", "\"service\": \"t\"")),
        Contains("undeclared service t"));
    CHECK_THAT(faults_of(replaced("\"patches\"", "\"patchez\"")),
        Contains("/patchez is not a known key")
            || Contains("/patchez: is not a known key"));
    CHECK_THAT(faults_of(replaced(
                   "\"max_timeout_ms\": 1000", "\"max_timeout_ms\": 600000")),
        Contains("max_timeout_ms"));
    CHECK_THAT(faults_of(replaced("\"timeout_ms\": 100",
                   "\"max_attempts\": 0, \"timeout_ms\": 100")),
        Contains("at least one attempt"));
    CHECK_THAT(faults_of(replaced("\"timeout_ms\": 100",
                   "\"split\": [{\"service\": \"\", \"weight\": 1}], "
                   "\"timeout_ms\": 100")),
        Contains("part of a split"));
    CHECK_THAT(faults_of(replaced("\"patches\"",
                   "\"ingress\": {\"idle_ms\": 0}, \"patches\"")),
        Contains("/ingress"));
    CHECK_THAT(faults_of(replaced("\"timeout_ms\": 100",
                   "\"split\": [{\"service\": \"t\", \"weight\": 1}], "
                   "\"timeout_ms\": 100")),
        Contains("undeclared service t"));
    CHECK_THAT(faults_of("[]"), Contains("is not an object"));
    CHECK_THAT(faults_of("{"), Contains("not valid JSON"));
}
