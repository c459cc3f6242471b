#include "main/entry_intake.hpp"

#include <catch2/catch.hpp>

using namespace pollenward;
using namespace pollenward::main;
using core::store_revision;
using platform::listing_status;
using upstream::listed_worker;

namespace {

const core::service_id service("s");

listed_worker entry(const std::string& name, bool is_leaving = false)
{
    return listed_worker::make(
        upstream::worker::make(core::worker_id(name), core::endpoint(),
            core::zone_id("z"), is_leaving),
        service, core::slot_count(6), core::milliseconds(0), 1, 1);
}

platform::listing<listed_worker> listed(listing_status status,
    std::uint64_t revision, const std::vector<std::string>& present,
    const std::vector<std::string>& removed = {})
{
    std::vector<platform::listed_object<listed_worker>> objects;
    for (const std::string& name : present)
    {
        objects.push_back(
            platform::listed_object<listed_worker>::make(name, entry(name)));
    }
    for (const std::string& name : removed)
    {
        objects.push_back(
            platform::listed_object<listed_worker>::make(name, std::nullopt));
    }
    return platform::listing<listed_worker>::make(
        status, store_revision(revision), std::move(objects));
}

/// Stops the clock, so that ages are exact.
class paused_clock {
public:
    paused_clock() { core::runtime_clock::pause(); }
    paused_clock(const paused_clock&) = delete;
    paused_clock& operator=(const paused_clock&) = delete;
    ~paused_clock() { core::runtime_clock::resume(); }
};

struct listing_daemon {
    upstream::placement_state board{ upstream::zone_map::make(
        core::zone_id("z"), {}) };
    store_duty duty;
    worker_intake workers{ board, duty };

    std::size_t count()
    {
        return this->board.candidates(service, {}, core::runtime_clock::now())
            .size();
    }

    fleet::store_state know(const worker_intake& peer) const
    {
        const auto told = fleet::store_state::make(
            core::version_number(0), {}, peer.mark(core::runtime_clock::now()));
        const auto lacking = peer.changes_since(this->workers.known_revision());
        return lacking ? told.with_changes(*lacking) : told;
    }

    void learn_from(const listing_daemon& peer)
    {
        this->workers.take(
            this->know(peer.workers), core::runtime_clock::now());
    }
};

} // namespace

// Guards against a daemon that sends to workers that have left because the
// store refuses it.
TEST_CASE(
    "a daemon learns all workers and then their changes from another", "[main]")
{
    const paused_clock clock;
    listing_daemon asker;
    listing_daemon other;
    other.duty.assign(false);
    asker.workers.on_listing(
        listed(listing_status::complete, 10, { "a", "b" }));
    other.learn_from(asker);
    CHECK(other.count() == 2);
    CHECK(other.workers.known_revision() == store_revision(10));
    asker.workers.on_listing(
        listed(listing_status::changes, 12, { "c" }, { "a" }));
    const auto told = other.know(asker.workers);
    REQUIRE(told.get_changes());
    CHECK(told.get_changes()->get_start() == store_revision(10));
    CHECK(told.get_changes()->get_changes().size() == 2);
    other.learn_from(asker);
    CHECK(other.count() == 2);
    CHECK(other.workers.known_revision() == store_revision(12));
    CHECK_FALSE(other.workers.needs_store(core::runtime_clock::now()));
}

// Guards against daemons that rely on one that has lost the store itself.
TEST_CASE(
    "a daemon asks the store itself when the others do not hear it", "[main]")
{
    const paused_clock clock;
    listing_daemon asker;
    listing_daemon other;
    other.duty.assign(false);
    CHECK(other.workers.needs_store(core::runtime_clock::now()));
    asker.workers.on_listing(listed(listing_status::complete, 10, { "a" }));
    core::runtime_clock::advance(core::milliseconds(1000));
    other.learn_from(asker);
    core::runtime_clock::advance(core::milliseconds(700));
    other.learn_from(asker);
    CHECK_FALSE(other.workers.needs_store(core::runtime_clock::now()));
    core::runtime_clock::advance(core::milliseconds(200));
    other.learn_from(asker);
    CHECK(other.workers.needs_store(core::runtime_clock::now()));
}

// Guards against a list that goes back because a slower daemon tells it.
TEST_CASE("what another daemon knows less of changes nothing", "[main]")
{
    const paused_clock clock;
    listing_daemon behind;
    listing_daemon ahead;
    behind.workers.on_listing(
        listed(listing_status::complete, 10, { "a", "b" }));
    ahead.workers.on_listing(listed(listing_status::complete, 20, { "a" }));
    CHECK_FALSE(behind.workers.changes_since(store_revision(20)));
    ahead.learn_from(behind);
    CHECK(ahead.count() == 1);
    CHECK(ahead.workers.known_revision() == store_revision(20));
}

// Guards against entries that lapsed with the store and are spread as gone, or
// as there, before their workers had time to come back.
TEST_CASE("a daemon tells nothing while it keeps entries that lapsed", "[main]")
{
    const paused_clock clock;
    listing_daemon asker;
    listing_daemon other;
    asker.workers.on_listing(
        listed(listing_status::complete, 10, { "a", "b" }));
    other.learn_from(asker);
    asker.workers.on_store_regained();
    asker.workers.on_listing(
        listed(listing_status::changes, 15, {}, { "a", "b" }));
    other.learn_from(asker);
    CHECK(other.count() == 2);
    CHECK(other.workers.known_revision() == store_revision(10));
    core::runtime_clock::advance(core::seconds(2));
    asker.workers.expire();
    other.learn_from(asker);
    CHECK(other.count() == 0);
}

// Guards against a configuration that reaches a daemon in part, or goes back.
TEST_CASE("a daemon takes a newer configuration from another", "[main]")
{
    const paused_clock clock;
    const auto now = core::runtime_clock::now();
    std::vector<core::error> reasons;
    const auto first = operators::configuration::create(
        core::version_number(4), {}, {}, {}, core::seconds(5), {}, reasons);
    REQUIRE(first);
    configuration_in_force asker_state;
    configuration_in_force other_state;
    store_duty duty;
    configuration_intake asker(asker_state, duty);
    configuration_intake other(other_state, duty);
    asker.on_listing(platform::listing<operators::configuration>::make(
        listing_status::complete, store_revision(30),
        { platform::listed_object<operators::configuration>::make(
            "main", *first) }));
    const auto marks = fleet::store_state::make(
        asker.number(), asker.mark(now), fleet::store_position());
    // Marks alone say nothing about a configuration that is not there.
    other.take(marks, now);
    CHECK(other.known_revision() == store_revision(0));
    other.take(marks.with_configuration("{"), now);
    CHECK(other.known_revision() == store_revision(0));
    other.take(
        marks.with_configuration(asker.document_above(other.number())), now);
    CHECK(other_state.get() == first);
    CHECK(other.known_revision() == store_revision(30));
    CHECK(asker.document_above(other.number()).empty());
}
