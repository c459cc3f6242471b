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

TEST_CASE("a configuration survives encoding and decoding", "[operators]")
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

// Guards against a configuration that is accepted in part.
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
    CHECK_THAT(faults_of("[]"), Contains("is not an object"));
    CHECK_THAT(faults_of("{"), Contains("not valid JSON"));
}
