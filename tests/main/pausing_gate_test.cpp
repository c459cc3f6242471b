#include "main/pausing_gate.hpp"

#include "caller/pipeline_answers.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

#include <exception>
#include <string>

using namespace pollenward;

namespace {

const core::service_id service("service");

struct counting_gate {
    boost::asio::awaitable<caller::admission_decision> admit(
        const caller::caller_request& /*request*/)
    {
        ++this->offers;
        co_return caller::admission_decision::admitted(
            caller::admission_ticket());
    }

    void finish(const core::service_id& /*service*/,
        const caller::admission_ticket& /*ticket*/,
        std::optional<core::duration> /*service_time*/)
    {
    }

    int offers = 0;
};

upstream::listed_worker make_listed(const std::string& id)
{
    return upstream::listed_worker::make(
        upstream::worker::make(
            core::worker_id(id), core::endpoint(), core::zone_id("z"), false),
        service, core::slot_count(6), core::milliseconds(0), 1, 1);
}

caller::caller_request make_request()
{
    core::error reason;
    const auto kind = operators::kind_settings::create(core::kind_id("k"),
        service, false, core::rank::standard, core::milliseconds(1000),
        core::byte_count(1), reason);
    return caller::caller_request::make(core::request_id("r"), true, {},
        kind.value(), core::runtime_clock::now() + core::seconds(1), {});
}

} // namespace

// Guards against requests that wait for their deadline although it is known
// that no worker takes them before.
TEST_CASE("a request is refused at once while all workers pause", "[main]")
{
    upstream::placement_state placement(upstream::zone_map::make(
        core::zone_id("z"), { { core::zone_id("z"), core::region_id("r") } }));
    placement.store_listed({ make_listed("a"), make_listed("b") });
    counting_gate gate;
    main::pausing_gate tested(gate, placement);
    const auto admit = [&] {
        boost::asio::io_context context;
        std::optional<caller::admission_decision> decision;
        const auto request = make_request();
        boost::asio::co_spawn(context, tested.admit(request),
            [&](const std::exception_ptr& failure,
                caller::admission_decision ended) {
                CHECK_FALSE(failure);
                decision = std::move(ended);
            });
        context.run();
        return decision.value();
    };
    const auto now = core::runtime_clock::now();
    placement.get_notices().record_pause(
        make_listed("a"), now + core::seconds(40));
    CHECK(admit().get_ticket());
    placement.get_notices().record_pause(
        make_listed("b"), now + core::seconds(60));
    const auto refused = admit();
    CHECK_FALSE(refused.get_ticket());
    CHECK(gate.offers == 1);
    const auto answer = caller::make_answer(refused).get_outcome();
    CHECK(answer.get_status() == 503);
    REQUIRE(answer.get_retry_after());
    CHECK(*answer.get_retry_after() <= core::seconds(40));
    CHECK(*answer.get_retry_after() > core::seconds(38));
}
