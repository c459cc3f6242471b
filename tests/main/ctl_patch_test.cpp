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

/// Daemons that answer as set, per port.
struct fake_transport {
    ctl_answer get(const core::endpoint& daemon, const std::string&)
    {
        ++this->reads;
        const auto found = this->configurations.find(daemon.get_port());
        return found == this->configurations.end()
            ? ctl_answer::not_sent({})
            : ctl_answer::answered(200, found->second);
    }

    ctl_answer post_patch(const core::endpoint& daemon, const operators::patch&)
    {
        this->posted_to.push_back(daemon.get_port());
        return this->answers.at(daemon.get_port());
    }

    void pause(core::milliseconds) { ++this->pauses; }

    std::map<int, ctl_answer> answers;
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

ctl_answer reply(unsigned status, patch_outcome outcome)
{
    return ctl_answer::answered(status,
        operators::encode_reply(
            operators::patch_reply::make(outcome, core::version_number(1))));
}

} // namespace

TEST_CASE("a daemon that was not reached is passed over", "[main]")
{
    fake_transport transport;
    transport.answers = { { 1, ctl_answer::not_sent({}) },
        { 2, reply(409, patch_outcome::stale) } };
    CHECK(send_patch(transport, two_daemons, wanted()).get_outcome()
        == patch_outcome::stale);
}

// Guards against a patch that is sent to a second daemon although the first
// may have applied it.
TEST_CASE("a lost response is settled on another daemon", "[main]")
{
    fake_transport transport;
    transport.answers = { { 1, ctl_answer::lost({}) } };
    transport.configurations[2] = configuration_text(2, "\"p\"");
    CHECK(send_patch(transport, two_daemons, wanted()).is_applied());
    CHECK(transport.posted_to == std::vector<int>{ 1 });
}

TEST_CASE("a lost response is settled by another patch", "[main]")
{
    fake_transport transport;
    transport.answers = { { 1, ctl_answer::lost({}) } };
    transport.configurations[2] = configuration_text(2, "\"q\"");
    CHECK(send_patch(transport, two_daemons, wanted()).get_outcome()
        == patch_outcome::stale);
}

// Guards against a guess: while the old number is in force, the patch may
// still take effect.
TEST_CASE("a response that cannot be settled is unknown", "[main]")
{
    fake_transport transport;
    transport.answers = { { 1, reply(504, patch_outcome::unknown) } };
    transport.configurations[1] = configuration_text(1, "");
    CHECK(send_patch(transport, two_daemons, wanted()).get_outcome()
        == patch_outcome::unknown);
    CHECK(transport.pauses == settle_rounds);
    transport.configurations[1] = configuration_text(66, "");
    CHECK(send_patch(transport, two_daemons, wanted()).get_outcome()
        == patch_outcome::unknown);
}
