#include "store_objects.hpp"

#include <catch2/catch.hpp>

using namespace pollenward;
using nlohmann::json;

namespace {

json route(const char* host, const char* prefix, const char* kind)
{
    return { { "Host", host }, { "PathPrefix", prefix }, { "Kind", kind },
        { "TimeoutS", 2.5 }, { "TargetLatencyS", 1 }, { "Priority", 2 },
        { "Service", "ballots" }, { "MaxAttempts", 2 } };
}

json make_spec(json routes)
{
    return { { "Version", "r12" }, { "Routes", std::move(routes) },
        { "Services",
            { { "ballots", { { "MaxConnections", 390 } } },
                { "tallies", { { "MaxConnections", 390 } } } } },
        { "Limits",
            { { "MaxHeaderBytes", 16384 }, { "MaxBodyBytes", 1000 },
                { "HeaderTimeoutS", 3 }, { "IdleTimeoutS", 15 } } } };
}

json make_entry()
{
    return { { "Service", "ballots" }, { "Address", "10.0.0.9:8080" },
        { "Zone", "a" }, { "Version", "v1" }, { "Slots", 6 },
        { "State", "ready" }, { "WarmupLeftS", 0.5 }, { "Sequence", 4 },
        { "born", 1700000000000 } };
}

std::optional<upstream::listed_worker> decode(const json& entry)
{
    const auto zones = upstream::zone_map::make(
        core::zone_id("a"), { { core::zone_id("a"), core::region_id("r") } });
    core::error reason;
    const auto made = adapter::decode_worker("w-1", entry, zones, reason);
    CHECK((made || !reason.get_cause().empty()));
    return made;
}

} // namespace

// Guards against a version that is not applied because of one of its routes.
TEST_CASE("a configuration may have one prefix on two hosts", "[adapter]")
{
    core::error reason;
    const auto made = adapter::decode_configuration(
        make_spec({ { "r-1", route("one.example", "/a/", "safe") },
            { "r-2", route("two.example", "/a/", "unsafe") } }),
        reason);
    INFO(reason);
    REQUIRE(made);
    CHECK(made->get_number() == core::version_number(12));
    CHECK(made->get_routes().size() == 2);
    const auto kind = made->find_kind(core::kind_id("r-2"));
    REQUIRE(kind);
    CHECK_FALSE(kind->is_idempotent());
    CHECK(kind->get_rank() == core::rank::background);
    CHECK(kind->get_timeout() == core::milliseconds(2500));
    CHECK(kind->get_target_latency() == core::milliseconds(1000));
    CHECK(kind->get_max_attempts() == 2);
    CHECK(kind->get_max_body() == core::byte_count(1000));
    CHECK(made->get_ingress_limits().get_idle() == core::milliseconds(15000));
}

// Guards against repeating a kind of request that is not declared idempotent.
TEST_CASE("only the kind named safe is idempotent", "[adapter]")
{
    for (const char* name : { "unsafe", "keyed", "" })
    {
        core::error reason;
        const auto made = adapter::decode_configuration(
            make_spec(json::object({ { "r", route("h", "/a/", name) } })),
            reason);
        REQUIRE(made);
        CHECK_FALSE(made->find_kind(core::kind_id("r"))->is_idempotent());
    }
}

// Guards against a part of a split that gets no requests.
TEST_CASE("a split names its services and weights", "[adapter]")
{
    json split = route("h", "/a/", "safe");
    split.erase("Service");
    split["TrafficSplit"] = { { { "Service", "ballots" }, { "Weight", 90 } },
        { { "Service", "tallies" }, { "Weight", 10 } } };
    core::error reason;
    const auto made = adapter::decode_configuration(
        make_spec(json::object({ { "r", split } })), reason);
    REQUIRE(made);
    const auto parts = made->find_kind(core::kind_id("r"))->get_split();
    REQUIRE(parts.size() == 2);
    CHECK(parts[1].get_service() == core::service_id("tallies"));
    CHECK(parts[1].get_weight() == 10);
}

// Guards against applying a configuration in part.
TEST_CASE("an unreadable configuration is refused with a reason", "[adapter]")
{
    json no_host = route("h", "/a/", "safe");
    no_host.erase("Host");
    json bad_version = make_spec({});
    bad_version["Version"] = "12";
    for (const json& spec : { make_spec(json::object({ { "r", no_host } })),
             bad_version, json("text"), json(nullptr) })
    {
        core::error reason;
        CHECK_FALSE(adapter::decode_configuration(spec, reason));
        CHECK_FALSE(reason.get_cause().empty());
    }
}

TEST_CASE(
    "a worker's entry gives its address, zone, state and start", "[adapter]")
{
    const auto made = decode(make_entry());
    REQUIRE(made);
    CHECK(made->get_worker().get_address().str() == "10.0.0.9:8080");
    CHECK_FALSE(made->get_worker().is_leaving());
    CHECK(made->get_warm_up_left() == core::milliseconds(500));
    json leaving = make_entry();
    leaving["State"] = "draining";
    CHECK(decode(leaving)->get_worker().is_leaving());
}

// Guards against requests to an address that was not written by a worker.
TEST_CASE("an entry with a wrong or missing field names no worker", "[adapter]")
{
    for (const char* field : { "Service", "Address", "Zone", "Version", "Slots",
             "State", "WarmupLeftS", "Sequence" })
    {
        json missing = make_entry();
        missing.erase(field);
        CHECK_FALSE(decode(missing));
        json wrong = make_entry();
        wrong[field] = json::array({ 1 });
        CHECK_FALSE(decode(wrong));
    }
    for (const auto& [field, value] :
        std::vector<std::pair<const char*, json>>{ { "State", "gone" },
            { "Zone", "unknown" }, { "Address", "host:1" }, { "Slots", 0 },
            { "born", 1.5 }, { "Sequence", -1 } })
    {
        json wrong = make_entry();
        wrong[field] = value;
        CHECK_FALSE(decode(wrong));
    }
}

TEST_CASE("a daemon's entry is read as it was written", "[adapter]")
{
    core::error reason;
    const auto self = fleet::member::make(core::daemon_id("d"),
        *core::endpoint::create("10.0.0.1:7200", reason), core::zone_id("a"),
        core::incarnation_number(3))
                          .with_capacity(200);
    CHECK(adapter::decode_daemon("d", adapter::encode_daemon(self), reason)
        == self);
    CHECK_FALSE(adapter::decode_daemon("d", json::object(), reason));
    // An entry of an earlier version of the daemon.
    auto older = adapter::encode_daemon(self);
    older.erase("capacity");
    CHECK(adapter::decode_daemon("d", older, reason) == self.with_capacity(0));
}
