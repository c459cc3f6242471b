#include "main/ctl_patch.hpp"

#include "operators/patch_json.hpp"

#include <catch2/catch.hpp>

#include <map>

using namespace pollenward;
using namespace pollenward::main;
using operators::patch_outcome;

namespace {

core::endpoint daemon_at(int port)
{
    core::error reason;
    return *core::endpoint::create("127.0.0.1:" + std::to_string(port), reason);
}

/// Returns the preset results of the daemons, by port.
struct fake_transport {
    ctl_result get(const core::endpoint& daemon, const std::string&)
    {
        ++this->reads;
        const auto found = this->configurations.find(daemon.get_port());
        return found == this->configurations.end()
            ? ctl_result::not_sent({})
            : ctl_result::answered(200, found->second);
    }

    ctl_result post_patch(const core::endpoint& daemon, const operators::patch&)
    {
        this->posted_to.push_back(daemon.get_port());
        return this->results.at(daemon.get_port());
    }

    void pause(core::milliseconds) { ++this->pauses; }

    std::map<int, ctl_result> results;
    std::map<int, std::string> configurations;
    std::vector<int> posted_to;
    int reads = 0;
    int pauses = 0;
};

const std::vector<core::endpoint> two_daemons{ daemon_at(1), daemon_at(2) };

operators::patch wanted()
{
    core::error reason;
    return *operators::decode_patch(core::patch_id("p"),
        core::version_number(1), R"({"max_timeout_ms": 5})", reason);
}

std::string configuration_text(int number, const std::string& patches)
{
    return "{\"number\": " + std::to_string(number)
        + ", \"max_timeout_ms\": 5, \"patches\": [" + patches + "]}";
}

ctl_result reply(unsigned status, patch_outcome outcome)
{
    return ctl_result::answered(status,
        operators::encode_reply(
            operators::patch_reply::make(outcome, core::version_number(1))));
}

} // namespace

TEST_CASE("a daemon that was not reached is skipped", "[main]")
{
    fake_transport transport;
    transport.results = { { 1, ctl_result::not_sent({}) },
        { 2, reply(409, patch_outcome::stale) } };
    CHECK(send_patch(transport, two_daemons, wanted()).get_outcome()
        == patch_outcome::stale);
}

// Guards against a patch that is sent to a second daemon although the first
// may have applied it.
TEST_CASE(
    "after a lost response the outcome is read from another daemon", "[main]")
{
    fake_transport transport;
    transport.results = { { 1, ctl_result::lost({}) } };
    transport.configurations[2] = configuration_text(2, "\"p\"");
    CHECK(send_patch(transport, two_daemons, wanted()).is_applied());
    CHECK(transport.posted_to == std::vector<int>{ 1 });
}

TEST_CASE(
    "after a lost response a patch is stale if another was applied", "[main]")
{
    fake_transport transport;
    transport.results = { { 1, ctl_result::lost({}) } };
    transport.configurations[2] = configuration_text(2, "\"q\"");
    CHECK(send_patch(transport, two_daemons, wanted()).get_outcome()
        == patch_outcome::stale);
}

// Guards against an outcome that is not certain: while the old number is in
// force, the patch may still take effect.
TEST_CASE("an outcome that cannot be determined is unknown", "[main]")
{
    fake_transport transport;
    transport.results = { { 1, reply(504, patch_outcome::unknown) } };
    transport.configurations[1] = configuration_text(1, "");
    CHECK(send_patch(transport, two_daemons, wanted()).get_outcome()
        == patch_outcome::unknown);
    CHECK(transport.pauses == max_outcome_polls);
    transport.configurations[1] = configuration_text(66, "");
    CHECK(send_patch(transport, two_daemons, wanted()).get_outcome()
        == patch_outcome::unknown);
}
