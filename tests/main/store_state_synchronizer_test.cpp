#include "main/store_state_synchronizer.hpp"

#include "main/slow_link.hpp"
#include "process/eventually.hpp"
#include "process/local_resources.hpp"

#include <boost/asio/strand.hpp>
#include <catch2/catch.hpp>

#include <atomic>
#include <memory>
#include <string>
#include <thread>
#include <vector>

using namespace pollenward;
using namespace pollenward::main;

namespace {

namespace asio = boost::asio;

/// 10 Mbit/s, the slowest link of the hosts that daemons run on.
constexpr std::size_t slowest_link = 10'000'000 / 8;

operators::configuration large_configuration(
    std::uint64_t number, int count, const std::string& host)
{
    std::vector<core::error> reasons;
    core::error reason;
    const auto service = operators::service_settings::create(
        core::service_id("tallies"), 0.7, core::slot_count(6), 390, {}, reason);
    std::vector<operators::kind_settings> kinds;
    std::vector<operators::route> routes;
    for (int i = 0; i < count; ++i)
    {
        const core::kind_id kind("route-" + std::to_string(i));
        kinds.push_back(*operators::kind_settings::create(kind,
            service->get_id(), false, core::rank::standard,
            core::milliseconds(2500), core::byte_count(1U << 20U), reason));
        routes.push_back(operators::route::create(operators::any_method,
            "/district/" + std::to_string(i) + "/", kind, reason)
                             ->with_host(host));
    }
    return *operators::configuration::create(core::version_number(number),
        { *service }, std::move(kinds), std::move(routes), core::seconds(60),
        {}, reasons);
}

/// A daemon's replicas, without the store.
struct zone_host {
    zone_host(asio::io_context& context, const std::string& name,
        const core::endpoint& address)
        : zone(context,
            fleet::member::make(core::daemon_id(name), address,
                core::zone_id("z"), core::incarnation_number(1)),
            this->placement)
        , synchronizer(
              this->zone, this->configurations, this->workers, this->role)
    {
        core::error reason;
        const bool is_listening = this->zone.start(
            [this, &context](
                fleet::message received) -> asio::awaitable<fleet::message> {
                if (const auto* state
                    = std::get_if<fleet::store_state>(&received))
                {
                    co_return fleet::message(this->synchronizer.answer(*state));
                }
                if (const auto* request
                    = std::get_if<operators::configuration_request>(&received))
                {
                    co_return fleet::message(
                        this->synchronizer.answer(*request));
                }
                if (auto* offer
                    = std::get_if<fleet::configuration_offer>(&received))
                {
                    asio::co_spawn(asio::make_strand(context),
                        this->synchronizer.accept(std::move(*offer)),
                        asio::detached);
                }
                co_return fleet::message(fleet::receipt::accepted());
            },
            reason);
        REQUIRE(is_listening);
    }

    void read_from_store(
        const operators::configuration& version, std::uint64_t revision)
    {
        this->configurations.on_listing(
            platform::listing<operators::configuration>::make(
                platform::listing_status::complete,
                core::store_revision(revision),
                { platform::listed_object<operators::configuration>::make(
                    "main", version) }));
    }

    upstream::placement_state placement{ upstream::zone_map::make(
        core::zone_id("z"), {}) };
    configuration_in_force in_force;
    store_reader_role role;
    configuration_replica configurations{ this->in_force, this->role };
    worker_replica workers{ this->placement, this->role };
    zone_synchronizer zone;
    store_state_synchronizer synchronizer;
};

/// Two daemons of a zone; each reaches the other over a slow link.
struct slow_zone {
    slow_zone()
        : ports(test::find_free_ports(2))
        , first_link(this->context, this->address(0), slowest_link)
        , second_link(this->context, this->address(1), slowest_link)
        , first(this->context, "first", this->address(0))
        , second(this->context, "second", this->address(1))
    {
        const std::vector<fleet::member> members
            = { this->member_of("first", this->first_link),
                  this->member_of("second", this->second_link) };
        this->first.zone.set_members(members);
        this->second.zone.set_members(members);
        const auto selected
            = this->first.zone.aggregators(1, core::runtime_clock::now());
        const bool is_first
            = selected.front().get_id() == core::daemon_id("first");
        this->aggregator = is_first ? &this->first : &this->second;
        this->other = is_first ? &this->second : &this->first;
        asio::co_spawn(asio::make_strand(this->context),
            this->other->synchronizer.run(), asio::detached);
        for (int i = 0; i < 2; ++i)
        {
            this->threads.emplace_back([this] { this->context.run(); });
        }
    }

    ~slow_zone()
    {
        this->first.synchronizer.stop();
        this->second.synchronizer.stop();
        this->first.zone.stop();
        this->second.zone.stop();
        this->context.stop();
    }

    slow_zone(const slow_zone&) = delete;
    slow_zone& operator=(const slow_zone&) = delete;

    core::endpoint address(std::size_t index) const
    {
        core::error reason;
        return *core::endpoint::create(
            "127.0.0.1:" + std::to_string(this->ports[index]), reason);
    }

    static fleet::member member_of(
        const std::string& name, const test::slow_link& link)
    {
        return fleet::member::make(core::daemon_id(name), link.get_endpoint(),
            core::zone_id("z"), core::incarnation_number(1));
    }

    static bool gets(zone_host& host, const operators::configuration& expected)
    {
        return test::eventually([&] { return host.in_force.get() == expected; },
            std::chrono::seconds(20));
    }

    asio::io_context context;
    std::vector<std::uint16_t> ports;
    test::slow_link first_link;
    test::slow_link second_link;
    zone_host first;
    zone_host second;
    zone_host* aggregator = nullptr;
    zone_host* other = nullptr;
    std::vector<std::jthread> threads;
};

} // namespace

// Guards against a large configuration that never reaches the daemons of a zone
// because it takes longer on a slow link than an exchange may.
TEST_CASE("a large configuration passes a slow link within a zone", "[main]")
{
    slow_zone zone;
    const auto grown = large_configuration(9, 1700, "ballots.example");
    zone.aggregator->read_from_store(grown, 20);
    CHECK(slow_zone::gets(*zone.other, grown));
    // The changes of each further version are sent, not the whole.
    const auto changed = large_configuration(11, 1699, "ballots.example");
    zone.aggregator->read_from_store(changed, 21);
    CHECK(slow_zone::gets(*zone.other, changed));
    const auto now = core::runtime_clock::now();
    CHECK_FALSE(zone.other->zone.aggregators(2, now).front().get_id()
        == zone.other->zone.self().get_id());
}

// Guards against an aggregator that the store refuses, and that stays on an old
// version although a daemon of its zone has the new one.
TEST_CASE("an aggregator gets a large configuration from its zone", "[main]")
{
    slow_zone zone;
    const auto grown = large_configuration(9, 1700, "ballots.example");
    zone.other->read_from_store(grown, 20);
    CHECK(slow_zone::gets(*zone.aggregator, grown));
}

// Guards against a daemon that requests parts again and again from one which
// was restarted and has no configuration yet.
TEST_CASE("a transfer ends when its sender has no configuration", "[main]")
{
    slow_zone zone;
    std::atomic<bool> has_ended{ false };
    const auto accept = [&]() -> asio::awaitable<void> {
        auto offer = fleet::configuration_offer::make(
            zone.other->zone.self().get_id(), core::version_number(9));
        co_await zone.aggregator->synchronizer.accept(std::move(offer));
        has_ended = true;
    };
    asio::co_spawn(asio::make_strand(zone.context), accept, asio::detached);
    CHECK(test::eventually(
        [&] { return has_ended.load(); }, std::chrono::seconds(20)));
}
