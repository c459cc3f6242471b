#include "fleet/fake_network.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/state.h>

using namespace pollenward;
using namespace pollenward::fleet;
using namespace pollenward::fleet::test;
using core::seconds;

namespace {

document version_of(std::uint64_t number, const std::string& body = "body")
{
    return document::make(core::document_name("configuration"),
        core::version_number(number), body + std::to_string(number));
}

std::uint64_t version_at(fake_network& network, int number)
{
    const auto found
        = network.node(number).find(core::document_name("configuration"));
    return found ? found->get_version().get() : 0;
}

bool sees_all_alive(fake_network& network)
{
    for (int i = 0; i < network.size(); ++i)
    {
        for (int j = 0; j < network.size(); ++j)
        {
            if (network.state_seen(i, j) != member_state::alive)
            {
                return false;
            }
        }
    }
    return true;
}

/// Runs until the condition holds; false if it does not hold in time.
template <class Condition>
bool run_until(
    fake_network& network, core::duration longest, Condition condition)
{
    for (core::duration passed{}; passed < longest && !condition();
         passed += seconds(1))
    {
        network.run(seconds(1));
    }
    return condition();
}

} // namespace

// Guards against daemons that discover no members beyond their seeds.
TEST_CASE("daemons find each other through seeds", "[fleet]")
{
    fake_network network(8, 1);
    CHECK(run_until(
        network, seconds(20), [&] { return sees_all_alive(network); }));
}

// Guards against a new version that is only passed on with pings.
TEST_CASE("a new version is pushed on at once", "[fleet]")
{
    fake_network network(12, 2);
    network.run(seconds(20));
    network.node(5).publish(version_of(3));
    network.run(core::milliseconds(100));
    int reached = 0;
    for (int i = 0; i < network.size(); ++i)
    {
        reached += version_at(network, i) == 3 ? 1 : 0;
    }
    // No round of pings has begun; pushes alone reach most daemons.
    CHECK(reached > network.size() / 2);
    CHECK(run_until(network, seconds(6), [&] {
        bool is_everywhere = true;
        for (int i = 0; i < network.size(); ++i)
        {
            is_everywhere = is_everywhere && version_at(network, i) == 3;
        }
        return is_everywhere;
    }));
}

// Guards against an outdated peer that restores an old version, and against two
// bodies of one version number that overwrite each other.
TEST_CASE("older versions and conflicts are not accepted", "[fleet]")
{
    fake_network network(3, 3);
    network.run(seconds(5));
    network.node(0).publish(version_of(7));
    network.run(seconds(5));
    CHECK(network.node(1).publish(version_of(6)) == document_order::older);
    CHECK(network.node(1).publish(version_of(7, "other"))
        == document_order::conflict);
    CHECK(network.node(1).count_conflicts() == 1);
    network.run(seconds(5));
    for (int i = 0; i < network.size(); ++i)
    {
        CHECK(*network.node(i).find(core::document_name("configuration"))
            == version_of(7));
    }
}

// Guards against a daemon that stays dead in the fleet after a pause, and
// against the paused daemon declaring the others dead when it resumes.
TEST_CASE("a paused daemon comes back", "[fleet]")
{
    fake_network network(6, 4);
    REQUIRE(run_until(
        network, seconds(20), [&] { return sees_all_alive(network); }));
    network.set_paused(2, true);
    REQUIRE(run_until(network, seconds(30),
        [&] { return network.state_seen(0, 2) == member_state::dead; }));
    network.node(0).publish(version_of(2));
    network.run(seconds(5));
    network.set_paused(2, false);
    network.run(core::milliseconds(0));
    for (int i = 0; i < network.size(); ++i)
    {
        CHECK(network.state_seen(2, i) != member_state::dead);
    }
    CHECK(run_until(
        network, seconds(20), [&] { return sees_all_alive(network); }));
    CHECK(version_at(network, 2) == 2);
    CHECK(network.node(2).self().get_sequence() > 0);
}

// Guards against a one-way cut between two daemons that removes either of
// them although the others reach both.
TEST_CASE("a one-way cut removes no member", "[fleet]")
{
    fake_network network(6, 5);
    REQUIRE(run_until(
        network, seconds(20), [&] { return sees_all_alive(network); }));
    network.get_links().cuts.insert(
        { fake_network::address_of(1), fake_network::address_of(4) });
    for (int second = 0; second < 120; ++second)
    {
        network.run(seconds(1));
        for (int i = 0; i < network.size(); ++i)
        {
            REQUIRE(network.state_seen(i, 4) == member_state::alive);
            REQUIRE(network.state_seen(i, 1) == member_state::alive);
        }
    }
}

// Guards against a leaving daemon that the others keep counting as live.
TEST_CASE("a leaving daemon is not live for the others", "[fleet]")
{
    fake_network network(5, 6);
    REQUIRE(run_until(
        network, seconds(20), [&] { return sees_all_alive(network); }));
    network.spawn(3, network.node(3).leave());
    CHECK(run_until(network, seconds(10), [&] {
        bool is_known = true;
        for (int i = 0; i < network.size(); ++i)
        {
            is_known
                = is_known && network.state_seen(i, 3) == member_state::leaving;
        }
        return is_known;
    }));
}

namespace {

/// The oracle: the highest version that was published.
struct fleet_model {
    std::uint64_t highest = 0;
};

using fleet_command = rc::state::Command<fleet_model, fake_network>;

struct publish_version : fleet_command {
    int where = *rc::gen::inRange(0, 6);
    std::uint64_t number = *rc::gen::inRange<std::uint64_t>(1, 20);

    void apply(fleet_model& model) const override
    {
        model.highest = std::max(model.highest, this->number);
    }

    void run(const fleet_model&, fake_network& network) const override
    {
        auto& node = network.node(this->where);
        const auto before = version_at(network, this->where);
        node.publish(version_of(this->number));
        RC_ASSERT(
            version_at(network, this->where) == std::max(before, this->number));
    }

    void show(std::ostream& out) const override
    {
        out << "publish " << this->number << " at " << this->where;
    }
};

struct change_pause : fleet_command {
    int who = *rc::gen::inRange(0, 6);

    void run(const fleet_model&, fake_network& network) const override
    {
        network.set_paused(this->who, !network.is_paused(this->who));
    }

    void show(std::ostream& out) const override
    {
        out << "change pause of " << this->who;
    }
};

struct change_cut : fleet_command {
    int from = *rc::gen::inRange(0, 6);
    int to = *rc::gen::inRange(0, 6);

    void run(const fleet_model&, fake_network& network) const override
    {
        const std::pair direction{ fake_network::address_of(this->from),
            fake_network::address_of(this->to) };
        if (network.get_links().cuts.erase(direction) == 0)
        {
            network.get_links().cuts.insert(direction);
        }
    }

    void show(std::ostream& out) const override
    {
        out << "change cut " << this->from << " to " << this->to;
    }
};

struct pass_time : fleet_command {
    int tenths = *rc::gen::inRange(1, 80);

    void run(const fleet_model&, fake_network& network) const override
    {
        network.run(core::milliseconds(100) * this->tenths);
        for (int i = 0; i < network.size(); ++i)
        {
            RC_ASSERT(!network.has_reverted(i));
        }
    }

    void show(std::ostream& out) const override
    {
        out << "pass " << this->tenths << " tenths of a second";
    }
};

void heal_and_check(fake_network& network, std::uint64_t highest)
{
    network.get_links().cuts.clear();
    network.get_links().loss_percent = 0;
    for (int i = 0; i < network.size(); ++i)
    {
        network.set_paused(i, false);
    }
    RC_ASSERT(run_until(network, seconds(120), [&] {
        bool has_converged = sees_all_alive(network);
        for (int i = 0; i < network.size(); ++i)
        {
            has_converged = has_converged && version_at(network, i) == highest;
        }
        return has_converged;
    }));
}

} // namespace

// Guards against sequences of publications, pauses, one-way cuts and losses
// after which versions decrease or the daemons do not converge.
TEST_CASE("the fleet converges after failures", "[fleet][property]")
{
    CHECK(rc::check("versions only grow and all agree", [] {
        const auto seed = *rc::gen::arbitrary<std::uint64_t>();
        const auto loss = *rc::gen::inRange(0U, 30U);
        fake_network network(6, seed);
        network.get_links().loss_percent = loss;
        network.run(seconds(5));
        fleet_model model;
        auto commands = *rc::state::gen::commands(model,
            rc::state::gen::execOneOfWithArgs<publish_version, change_pause,
                change_cut, pass_time>());
        rc::state::runAll(commands, model, network);
        for (const auto& command : commands)
        {
            command->apply(model);
        }
        heal_and_check(network, model.highest);
    }));
}
