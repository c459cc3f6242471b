#include "main/stale_daemon_remover.hpp"

#include "upstream/scripted_worker.hpp"

#include <catch2/catch.hpp>

#include <set>
#include <string>
#include <vector>

using namespace pollenward;
using namespace pollenward::main;

namespace {

namespace asio = boost::asio;
using upstream::testing::run_to_end;

constexpr core::seconds check_interval{ 4 };

/// Daemons that reply unless they are lost, and the list of all of them.
class listed_fleet {
public:
    listed_fleet(std::size_t zones, std::size_t daemons_per_zone)
    {
        for (std::size_t i = 0; i < zones * daemons_per_zone; ++i)
        {
            this->members.push_back(
                fleet::member::make(id_of(i), core::endpoint(),
                    core::zone_id("z" + std::to_string(i % zones)),
                    core::incarnation_number(1)));
        }
    }

    /// Ids in the order of their numbers.
    static core::daemon_id id_of(std::size_t number)
    {
        constexpr std::size_t first_number = 100;
        return core::daemon_id("d" + std::to_string(first_number + number));
    }

    asio::awaitable<bool> exchange_records(core::daemon_id peer)
    {
        ++this->checks;
        co_return !this->is_isolated && this->lost.count(peer) == 0;
    }

    asio::awaitable<bool> remove(
        const fleet::member& who, core::store_revision revision)
    {
        CHECK(revision == core::store_revision(7));
        std::erase(this->members, who);
        this->removed.insert(who.get_id());
        co_return true;
    }

    platform::listing<fleet::member> list() const
    {
        std::vector<platform::listed_object<fleet::member>> objects;
        for (const fleet::member& each : this->members)
        {
            objects.push_back(platform::listed_object<fleet::member>::make(
                each.get_id().str(), each)
                                  .with_revision(core::store_revision(7)));
        }
        return platform::listing<fleet::member>::make(
            platform::listing_status::complete, core::store_revision(9),
            std::move(objects));
    }

    std::vector<fleet::member> members;
    std::set<core::daemon_id> lost;
    std::set<core::daemon_id> removed;
    bool is_isolated = false;
    int checks = 0;
};

/// The checks of the first daemon.
class checking_daemon {
public:
    explicit checking_daemon(listed_fleet& fleet)
        : fleet(fleet)
        , self(fleet.members.front())
        , remover(fleet, fleet)
    {
    }

    void check_for(core::duration span)
    {
        for (core::duration passed{}; passed < span; passed += check_interval)
        {
            asio::io_context context;
            const auto run = [&]() -> asio::awaitable<bool> {
                co_await this->remover.check(this->self, this->fleet.list());
                co_return true;
            };
            run_to_end(context, run());
            core::runtime_clock::advance(check_interval);
        }
    }

private:
    upstream::testing::paused_clock clock;
    listed_fleet& fleet;
    fleet::member self;
    stale_daemon_remover<listed_fleet, listed_fleet> remover;
};

} // namespace

// Guards against daemons that are gone for good and stay listed: messages are
// sent to them, and retries are shared with them.
TEST_CASE("daemons that stay silent are removed from the list", "[main]")
{
    listed_fleet fleet(3, 12);
    checking_daemon daemon(fleet);
    // All of its zone but the last one.
    for (std::size_t i = 3; i < 33; i += 3)
    {
        fleet.lost.insert(listed_fleet::id_of(i));
    }
    daemon.check_for(core::seconds(12));
    CHECK(fleet.removed.empty());
    daemon.check_for(core::seconds(48));
    CHECK(fleet.removed == fleet.lost);
    fleet.checks = 0;
    daemon.check_for(core::seconds(40));
    CHECK(fleet.checks == 10);
}

// Guards against a daemon that removes all others because it is cut off from
// them but not from the store.
TEST_CASE("a daemon that reaches no other one removes none", "[main]")
{
    listed_fleet fleet(3, 12);
    checking_daemon daemon(fleet);
    fleet.is_isolated = true;
    daemon.check_for(core::seconds(120));
    CHECK(fleet.removed.empty());
    SECTION("unless other zones reply and its own does not")
    {
        fleet.is_isolated = false;
        for (std::size_t i = 3; i < 36; i += 3)
        {
            fleet.lost.insert(listed_fleet::id_of(i));
        }
        daemon.check_for(core::seconds(120));
        CHECK(fleet.removed == fleet.lost);
    }
}

// Guards against removing a daemon that was restarted or frozen for a while.
TEST_CASE("a daemon that replies again is not removed", "[main]")
{
    listed_fleet fleet(1, 3);
    checking_daemon daemon(fleet);
    const core::daemon_id next = listed_fleet::id_of(1);
    for (int i = 0; i < 10; ++i)
    {
        fleet.lost.insert(next);
        daemon.check_for(core::seconds(12));
        fleet.lost.erase(next);
        daemon.check_for(core::seconds(4));
    }
    CHECK(fleet.removed.empty());
}

// Guards against removing and registering a daemon in turn while only this
// daemon does not reach it.
TEST_CASE("a daemon that registers again is removed later and later", "[main]")
{
    listed_fleet fleet(1, 3);
    checking_daemon daemon(fleet);
    const auto next = fleet.members[1];
    fleet.lost.insert(next.get_id());
    int removals = 0;
    for (int i = 0; i < 300; ++i)
    {
        daemon.check_for(check_interval);
        if (fleet.removed.erase(next.get_id()) != 0)
        {
            ++removals;
            fleet.members.push_back(next);
        }
    }
    CHECK(removals >= 3);
    CHECK(removals <= 7);
}
