#include "operators/patch_json.hpp"

#include "operators/configuration_json.hpp"

#include <catch2/catch.hpp>

using namespace pollenward;
using namespace pollenward::operators;

namespace {

configuration present()
{
    std::vector<core::error> faults;
    return *decode_configuration(R"({"number": 3, "max_timeout_ms": 1000,
        "services": [{"id": "s", "floor": 0.5, "slots_per_worker": 6,
            "connections_per_worker": 400}],
        "kinds": [{"id": "k", "service": "s", "idempotent": true,
            "rank": "urgent", "timeout_ms": 100, "max_body_bytes": 10}],
        "routes": [{"method": "GET", "path_prefix": "/", "kind": "k"}]})",
        faults);
}

patch make_patch(const std::string& content)
{
    core::error reason;
    return *decode_patch(
        core::patch_id("p"), core::version_number(3), content, reason);
}

std::string faults_of(const std::string& content)
{
    std::vector<core::error> faults;
    CHECK_FALSE(apply_patch(make_patch(content), present(), faults));
    std::string all;
    for (const auto& each : faults)
    {
        all += each.describe() + "\n";
    }
    return all;
}

} // namespace

TEST_CASE("a patch changes single items by id", "[operators]")
{
    std::vector<core::error> faults;
    const auto change = make_patch(R"({"services": {"s": {"floor": 0.75},
        "t": {"floor": 1, "slots_per_worker": 2, "connections_per_worker": 9}},
        "routes": {"GET /": null, "PUT /x": {"kind": "k"}}})");
    const auto next = apply_patch(change, present(), faults);
    REQUIRE(next);
    CHECK(next->get_number() == core::version_number(4));
    CHECK(next->find_service(core::service_id("s"))->get_floor() == 0.75);
    CHECK(next->find_service(core::service_id("t")));
    CHECK(next->get_routes().size() == 1);
    CHECK(next->get_patches().back()
        == patch_record::make(
            core::patch_id("p"), change.get_digest(), core::version_number(4)));
    const auto differences = compare_configurations(present(), *next);
    REQUIRE(differences.size() == 4);
    CHECK(differences[2]
        == configuration_difference::make("/services/s/floor", "0.5", "0.75"));
}

// Guards against routes of two hosts that overwrite each other in a patch.
TEST_CASE("a patch distinguishes routes of two hosts", "[operators]")
{
    std::vector<core::error> faults;
    const auto change = make_patch(R"({"routes": {
        "GET one.example/": {"kind": "k"}, "GET two.example/a": {"kind": "k"}}})");
    const auto next = apply_patch(change, present(), faults);
    REQUIRE(next);
    REQUIRE(next->get_routes().size() == 3);
    CHECK(next->get_routes()[1].get_host() == "one.example");
    CHECK(next->get_routes()[1].get_path_prefix() == "/");
    CHECK(next->get_routes()[2].get_host() == "two.example");
    CHECK(next->get_routes()[2].get_path_prefix() == "/a");
}

// Guards against a patch that is applied partially, or that sets a field that
// only the system may set.
TEST_CASE("a patch with a fault changes nothing and the fault is reported",
    "[operators]")
{
    using Catch::Contains;
    CHECK_THAT(faults_of(R"({"number": 9})"), Contains("/number"));
    CHECK_THAT(faults_of(R"({"patches": []})"), Contains("/patches"));
    CHECK_THAT(faults_of(R"({"services": {"s": null}})"),
        Contains("undeclared service s"));
    CHECK_THAT(faults_of(R"({"services": {"z": null}})"),
        Contains("/services/z: is removed but not declared"));
    CHECK_THAT(faults_of(R"({"kinds": {"k": {"id": "l"}}})"),
        Contains("/kinds/k: is not the key of its item"));
    CHECK_THAT(faults_of(R"({"routes": {"GET": {"kind": "k"}}})"),
        Contains("/routes/GET: is not the key of its item"));
    CHECK_THAT(faults_of(R"({"services": {"s": 1}})"),
        Contains("neither an object nor null"));
    CHECK_THAT(faults_of(R"({"colour": 1})"), Contains("/colour"));
}

// Guards against a repeated patch that is refused as ambiguous because of its
// whitespace.
TEST_CASE("equal patches have equal digests", "[operators]")
{
    CHECK(make_patch(R"({"a": 1, "b": 2})").get_digest()
        == make_patch(R"({"b":2,"a":1})").get_digest());
    CHECK(make_patch(R"({"a": 1})").get_digest()
        != make_patch(R"({"a": 2})").get_digest());
}

// Guards against a patch that ends the daemon by its depth.
TEST_CASE("a deeply nested patch is refused", "[operators]")
{
    constexpr std::size_t depth = 200'000;
    const std::string deep = "{\"kinds\":" + std::string(depth, '[')
        + std::string(depth, ']') + "}";
    core::error reason;
    CHECK_FALSE(decode_patch(
        core::patch_id("p"), core::version_number(3), deep, reason));
    CHECK_FALSE(decode_patch_message(
        R"({"id":"p","number":3,"patch":)" + deep + "}", reason));
    CHECK(decode_patch(core::patch_id("p"), core::version_number(3),
        R"({"kinds":[{"split":[]}]})", reason));
}
