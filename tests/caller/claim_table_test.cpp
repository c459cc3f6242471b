#include "caller/claim_decision.hpp"
#include "caller/claim_table.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

#include <map>
#include <memory>
#include <string>
#include <vector>

using namespace pollenward;
using namespace pollenward::caller;

namespace {

constexpr int daemon_count = 6;
constexpr int id_count = 3;
constexpr core::seconds quorum_validity{ 10 };

core::daemon_id daemon_name(int number)
{
    return core::daemon_id("daemon-" + std::to_string(number));
}

/// One simulated daemon: its claims and its roster.
struct node {
    int number = 0;
    core::incarnation_number incarnation;
    std::unique_ptr<claim_table> table;
    claim_roster roster;
    bool is_reachable = true;

    void start(core::incarnation_number next)
    {
        this->incarnation = next;
        this->roster = claim_roster();
        this->table
            = std::make_unique<claim_table>(daemon_name(this->number), next);
    }
};

/// Simulates claim owners under roster changes, restarts, network partitions,
/// late rosters and the passing of time. The oracle is the time of the last run
/// of each request id.
class claim_simulation {
public:
    claim_simulation()
    {
        for (int i = 0; i < daemon_count; ++i)
        {
            this->nodes[i].number = i;
            this->nodes[i].start(core::incarnation_number(1));
        }
        this->change_roster(0);
        for (int i = 0; i < daemon_count; ++i)
        {
            this->install_latest_roster(i);
        }
    }

    void claim(int claimant_number, int id_number)
    {
        const core::request_id id("request-" + std::to_string(id_number));
        node& self = this->nodes[claimant_number];
        const auto holder = claimant::make(daemon_name(claimant_number),
            self.incarnation, ++this->last_number);
        const auto owners = self.roster.owners_of(partition_of(id));
        std::vector<claim_answer> answers;
        for (const core::daemon_id& owner : owners)
        {
            answers.push_back(this->ask(self, owner, id, holder));
        }
        const auto grant = decide_claim(answers, this->now);
        if (grant.is_usable(this->now))
        {
            this->run(id);
            return;
        }
        for (const core::daemon_id& owner : owners)
        {
            this->find(owner).table->settle(id, holder, claim_state::not_run);
        }
    }

    /// Removes or adds a daemon. As in the platform, the writer of a roster has
    /// the latest one.
    void change_roster(int number)
    {
        std::vector<roster_member> live;
        for (const node& each : this->nodes)
        {
            const bool is_removed = each.number == number
                && this->latest.find(daemon_name(number)).has_value();
            if (!is_removed)
            {
                live.push_back(member_of(each));
            }
        }
        if (this->latest.get_version() == core::version_number(0))
        {
            live.clear();
            for (const node& each : this->nodes)
            {
                live.push_back(member_of(each));
            }
        }
        if (const auto next = next_roster(this->latest, live))
        {
            this->latest = *next;
            this->latest_since = this->now;
        }
    }

    void install_latest_roster(int number)
    {
        node& self = this->nodes[number];
        self.roster = this->latest;
        self.table->install_roster(this->latest, this->now);
    }

    void restart(int number)
    {
        node& self = this->nodes[number];
        self.start(self.incarnation + core::incarnation_number(1));
        this->install_latest_roster(number);
    }

    void copy(int number)
    {
        node& self = this->nodes[number];
        for (const auto partition : self.table->unready_partitions(this->now))
        {
            for (const auto& owner : self.roster.owners_of(partition))
            {
                node& other = this->find(owner);
                const auto records = other.number == number
                    ? std::nullopt
                    : other.table->copy(
                        partition, self.roster.get_version(), this->now);
                if (records && other.is_reachable)
                {
                    self.table->install_copy(partition,
                        self.roster.get_version(), *records, this->now);
                }
            }
        }
    }

    void toggle_reachable(int number)
    {
        node& self = this->nodes[number];
        self.is_reachable = !self.is_reachable;
    }

    void advance(core::duration step) { this->now += step; }

    std::size_t count_runs() const { return this->run_count; }

private:
    static roster_member member_of(const node& each)
    {
        return roster_member::make(daemon_name(each.number),
            core::zone_id("zone-" + std::to_string(each.number % 3)),
            each.incarnation);
    }

    claim_answer ask(const node& self, const core::daemon_id& owner,
        const core::request_id& id, const claimant& holder)
    {
        node& other = this->find(owner);
        if (!other.is_reachable && other.number != self.number)
        {
            return {};
        }
        // An owner in contact with the majority receives a new roster within
        // the validity of its quorum; the quorum rule relies on that.
        const bool has_quorum
            = other.roster.get_version() == this->latest.get_version()
            || this->now - this->latest_since < quorum_validity;
        return other.table->claim(
            id, 0, holder, self.roster.get_version(), has_quorum, this->now);
    }

    node& find(const core::daemon_id& id)
    {
        for (node& each : this->nodes)
        {
            if (daemon_name(each.number) == id)
            {
                return each;
            }
        }
        throw std::logic_error("unknown daemon " + id.str());
    }

    void run(const core::request_id& id)
    {
        const auto last = this->runs.find(id);
        if (last != this->runs.end())
        {
            RC_ASSERT(this->now - last->second >= claim_ttl);
        }
        this->runs[id] = this->now;
        ++this->run_count;
    }

    std::array<node, daemon_count> nodes;
    claim_roster latest;
    core::time_point latest_since;
    core::time_point now{ std::chrono::hours(1) };
    std::map<core::request_id, core::time_point> runs;
    std::uint64_t last_number = 0;
    std::size_t run_count = 0;
};

/// One step: the kind of step and its two arguments.
struct simulation_step {
    int kind = 0;
    int daemon = 0;
    int id = 0;
};

void apply(claim_simulation& simulation, const simulation_step& step)
{
    constexpr core::seconds short_step{ 3 };
    switch (step.kind)
    {
    case 0:
    case 1:
    case 2:
        return simulation.claim(step.daemon, step.id);
    case 3:
        return simulation.change_roster(step.daemon);
    case 4:
        return simulation.install_latest_roster(step.daemon);
    case 5:
        return simulation.restart(step.daemon);
    case 6:
    case 7:
        return simulation.copy(step.daemon);
    case 8:
        return simulation.toggle_reachable(step.daemon);
    case 9:
        return simulation.advance(short_step);
    default:
        return simulation.advance(claim_ttl / 3);
    }
}

rc::Gen<std::vector<simulation_step>> gen_steps()
{
    constexpr int kind_count = 11;
    return rc::gen::container<std::vector<simulation_step>>(150,
        rc::gen::build<simulation_step>(rc::gen::set(&simulation_step::kind,
                                            rc::gen::inRange(0, kind_count)),
            rc::gen::set(
                &simulation_step::daemon, rc::gen::inRange(0, daemon_count)),
            rc::gen::set(&simulation_step::id, rc::gen::inRange(0, id_count))));
}

std::ostream& operator<<(std::ostream& out, const simulation_step& step)
{
    return out << step.kind << '/' << step.daemon << '/' << step.id;
}

} // namespace

// Guards against a second run of a non-idempotent request that its caller
// sends again through any daemon, whatever happens to the owners of its claim.
TEST_CASE("a request id runs at most once within the claim lifetime",
    "[caller][property]")
{
    rc::prop("one run per id", [] {
        claim_simulation simulation;
        for (const simulation_step& step : *gen_steps())
        {
            apply(simulation, step);
        }
    });
}

// Guards against safety that comes from refusing every claim.
TEST_CASE(
    "claims are granted again after a roster change and a copy", "[caller]")
{
    claim_simulation simulation;
    simulation.claim(0, 0);
    CHECK(simulation.count_runs() == 1);
    simulation.change_roster(1);
    for (int i = 0; i < daemon_count; ++i)
    {
        simulation.install_latest_roster(i);
    }
    for (int i = 0; i < daemon_count; ++i)
    {
        simulation.copy(i);
    }
    simulation.claim(2, 1);
    simulation.claim(2, 2);
    CHECK(simulation.count_runs() == 3);
    simulation.claim(3, 0);
    CHECK(simulation.count_runs() == 3);
}

TEST_CASE("a claim that was not run can be claimed again", "[caller]")
{
    const core::time_point now(std::chrono::hours(1));
    const core::daemon_id self("daemon-0");
    claim_table table(self, core::incarnation_number(1));
    const auto member = roster_member::make(
        self, core::zone_id("a"), core::incarnation_number(1));
    const core::version_number first(1);
    table.install_roster(claim_roster::make(first, { member }, {}), now);
    const core::request_id id("r");
    const auto one = claimant::make(self, core::incarnation_number(1), 1);
    const auto two = claimant::make(self, core::incarnation_number(1), 2);
    const auto ask = [&](const claimant& holder) {
        return table.claim(id, 0, holder, first, true, now).get_verdict();
    };
    CHECK(ask(one) == claim_verdict::granted);
    CHECK(ask(two) == claim_verdict::duplicate);
    table.settle(id, two, claim_state::not_run);
    CHECK(ask(two) == claim_verdict::duplicate);
    table.settle(id, one, claim_state::not_run);
    CHECK(ask(two) == claim_verdict::granted);
    table.settle(id, two, claim_state::finished);
    CHECK(ask(one) == claim_verdict::duplicate);
    CHECK(table.expire(now + claim_ttl) == 1);
    CHECK(table.size() == 0);
}

namespace {

/// A table of "daemon-0" that owns all partitions together with "daemon-1".
struct owner_under_test {
    const core::time_point now{ std::chrono::hours(1) };
    const core::request_id id{ "r" };
    const claimant holder
        = claimant::make(daemon_name(1), core::incarnation_number(1), 1);
    const std::vector<roster_member> pair{ member(0), member(1) };
    claim_table table{ daemon_name(0), core::incarnation_number(1) };

    static roster_member member(int number)
    {
        return roster_member::make(daemon_name(number),
            core::zone_id(std::to_string(number)), core::incarnation_number(1));
    }

    claim_verdict ask(std::uint64_t version, bool has_quorum = true)
    {
        return this->table
            .claim(this->id, 0, this->holder, core::version_number(version),
                has_quorum, this->now)
            .get_verdict();
    }
};

} // namespace

// Guards against claims granted for a roster that is no longer in force, whose
// other owner may have been replaced.
TEST_CASE("an owner answers only for its own roster version", "[caller]")
{
    owner_under_test owner;
    owner.table.install_roster(
        claim_roster::make(core::version_number(1), owner.pair, {}), owner.now);
    CHECK(owner.ask(2) == claim_verdict::wrong_roster);
    CHECK(owner.ask(0) == claim_verdict::wrong_roster);
    CHECK(owner.ask(1) == claim_verdict::granted);
}

// Guards against owners that are partitioned together while the roster changes.
TEST_CASE("an owner without the majority grants nothing", "[caller]")
{
    owner_under_test owner;
    owner.table.install_roster(
        claim_roster::make(core::version_number(1), owner.pair, {}), owner.now);
    CHECK(owner.ask(1, false) == claim_verdict::no_quorum);
}

// Guards against an owner that treats its claims as complete although other
// owners granted claims in a version that it missed.
TEST_CASE("an owner that missed a version must copy first", "[caller]")
{
    const auto first = claim_roster::make(
        core::version_number(1), owner_under_test().pair, {});
    SECTION("the changes are not known")
    {
        owner_under_test owner;
        owner.table.install_roster(first, owner.now);
        owner.table.install_roster(
            claim_roster::make(core::version_number(3), owner.pair, {}),
            owner.now);
        CHECK(owner.ask(3) == claim_verdict::not_ready);
    }
    SECTION("it was not an owner in between")
    {
        owner_under_test owner;
        owner.table.install_roster(first, owner.now);
        const auto later = first.without_member(daemon_name(0))
                               .with_member(owner_under_test::member(0));
        owner.table.install_roster(later, owner.now);
        CHECK(owner.ask(3) == claim_verdict::not_ready);
        owner.table.install_copy(
            partition_of(owner.id), core::version_number(3), {}, owner.now);
        CHECK(owner.ask(3) == claim_verdict::granted);
    }
    SECTION("it was an owner in between")
    {
        owner_under_test owner;
        owner.table.install_roster(first, owner.now);
        const auto later = first.without_member(daemon_name(1))
                               .with_member(owner_under_test::member(1));
        owner.table.install_roster(later, owner.now);
        CHECK(owner.ask(3) == claim_verdict::granted);
    }
}

// Guards against a restarted daemon that grants what it granted before.
TEST_CASE("a restarted owner must copy first", "[caller]")
{
    owner_under_test owner;
    claim_table restarted(daemon_name(0), core::incarnation_number(2));
    restarted.install_roster(
        claim_roster::make(core::version_number(1), owner.pair, {}), owner.now);
    const auto ask = [&](core::time_point now) {
        return restarted
            .claim(
                owner.id, 0, owner.holder, core::version_number(1), true, now)
            .get_verdict();
    };
    CHECK(ask(owner.now) == claim_verdict::not_ready);
    CHECK(ask(owner.now + claim_ttl) == claim_verdict::granted);
}
