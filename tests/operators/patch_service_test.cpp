#include "operators/patch_service.hpp"

#include "fake_store.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <cstdlib>
#include <map>

using namespace pollenward;
using namespace pollenward::operators;

namespace {

const std::string first_configuration = R"({"number": 1, "max_timeout_ms": 1000,
    "services": [], "kinds": [], "routes": [], "patches": []})";

patch make_patch(int id, std::uint64_t base_number, int content)
{
    core::error reason;
    return *decode_patch(core::patch_id("p" + std::to_string(id)),
        core::version_number(base_number),
        "{\"max_timeout_ms\": " + std::to_string(content) + "}", reason);
}

configuration stored_in(const fake_store& store)
{
    std::vector<core::error> faults;
    return *decode_configuration(store.value, faults);
}

/// Runs an operation until it has a result, with a simulated clock so that
/// back-off delays take no time.
template <class Result>
Result run(boost::asio::awaitable<Result> operation)
{
    boost::asio::io_context context;
    std::optional<Result> result;
    const auto store_result = [&]() -> boost::asio::awaitable<void> {
        result = co_await std::move(operation);
    };
    core::runtime_clock::pause();
    boost::asio::co_spawn(context, store_result, boost::asio::detached);
    while (!result)
    {
        context.poll();
        core::runtime_clock::advance(platform::backoff::max_ceiling);
        core::wake_timers(context.get_executor());
    }
    core::runtime_clock::resume();
    return *result;
}

patch_reply apply(
    fake_store& store, const patch& wanted, core::version_number in_force = {})
{
    patch_service<fake_store> service(store, 1);
    return run(service.apply(wanted, in_force));
}

/// Makes another operator write just before the next write.
void add_concurrent_write(fake_store& store)
{
    store.before_put = [&store] {
        const auto present = stored_in(store);
        const auto number = present.get_number();
        core::error reason;
        const auto other = decode_patch(
            core::patch_id("other-" + std::to_string(number.get())), number,
            R"({"max_timeout_ms": 777})", reason);
        std::vector<core::error> faults;
        store.value
            = encode_configuration(*apply_patch(*other, present, faults));
        store.version = store.version + core::version_number(1);
    };
}

int count_of(const configuration& present, const core::patch_id& id)
{
    const auto& records = present.get_patches();
    return static_cast<int>(std::count_if(records.begin(), records.end(),
        [&](const patch_record& each) { return each.get_id() == id; }));
}

} // namespace

TEST_CASE(
    "a write without a response is resolved by its patch id", "[operators]")
{
    fake_store store;
    store.value = first_configuration;
    store.lost_responses = 1;
    const auto reply = apply(store, make_patch(1, 1, 500));
    CHECK(reply
        == patch_reply::make(patch_outcome::accepted, core::version_number(2)));
    CHECK(store.version == core::version_number(2));
}

// Guards against a patch that is reported as applied because another operator's
// write increased the number.
TEST_CASE("a lost write that was superseded is stale", "[operators]")
{
    fake_store store;
    store.value = first_configuration;
    store.lost_requests = 1;
    add_concurrent_write(store);
    const auto reply = apply(store, make_patch(1, 1, 500));
    CHECK(reply.get_outcome() == patch_outcome::stale);
    CHECK(reply.get_number() == core::version_number(2));
}

// Guards against "not applied" for a write that may have been applied before
// the store was restored from an older state, and that may be in force in the
// fleet.
TEST_CASE("a lost write is unknown after a restore", "[operators]")
{
    fake_store store;
    store.value = first_configuration;
    REQUIRE(apply(store, make_patch(1, 1, 500)).is_applied());
    store.lost_requests = 1;
    store.before_put = [&store] {
        store.value = first_configuration;
        store.version = core::version_number(1);
    };
    CHECK(apply(store, make_patch(2, 2, 600)).get_outcome()
        == patch_outcome::unknown);
}

// Guards against two configurations with the same number after the store was
// restored from an older state.
TEST_CASE("no patch is accepted while the store is behind", "[operators]")
{
    fake_store store;
    store.value = first_configuration;
    const auto reply
        = apply(store, make_patch(1, 1, 500), core::version_number(2));
    CHECK(reply.get_outcome() == patch_outcome::unavailable);
    CHECK(store.value == first_configuration);
}

TEST_CASE("the same id with other content is ambiguous", "[operators]")
{
    fake_store store;
    store.value = first_configuration;
    CHECK(apply(store, make_patch(1, 1, 500)).is_applied());
    CHECK(apply(store, make_patch(1, 2, 600)).get_outcome()
        == patch_outcome::ambiguous);
    CHECK(apply(store, make_patch(1, 1, 500)).get_outcome()
        == patch_outcome::already_applied);
}

namespace {

/// Test oracle: the content of each configuration number, and the configuration
/// in force.
class patch_model {
public:
    patch_model() { this->store.value = first_configuration; }

    void step()
    {
        const auto before = stored_in(this->store);
        const bool has_concurrent_write = this->draw_faults();
        const auto wanted = make_patch(*rc::gen::inRange(0, 12),
            before.get_number().get() - (*rc::gen::inRange(0, 4) == 0 ? 1 : 0),
            *rc::gen::inRange(1, 4));
        const auto reply = apply(this->store, wanted, this->in_force());
        this->check(before, wanted, reply, has_concurrent_write);
        this->change_store();
    }

private:
    core::version_number in_force() const { return this->newest.get_number(); }

    bool draw_faults()
    {
        this->store.failed_reads = *rc::gen::element(0, 0, 0, 0, 1, 9);
        this->store.lost_requests = *rc::gen::element(0, 0, 1, 2);
        this->store.lost_responses = *rc::gen::element(0, 0, 1, 9);
        this->store.before_put = {};
        const bool has_concurrent_write = *rc::gen::inRange(0, 4) == 0;
        if (has_concurrent_write)
        {
            add_concurrent_write(this->store);
        }
        return has_concurrent_write;
    }

    void check(const configuration& before, const patch& wanted,
        const patch_reply& reply, bool has_concurrent_write)
    {
        const auto after = stored_in(this->store);
        const int count_before = count_of(before, wanted.get_id());
        const int count_after = count_of(after, wanted.get_id());
        const auto growth
            = after.get_number().get() - before.get_number().get();
        RC_ASSERT(count_after <= 1);
        RC_ASSERT(growth <= std::uint64_t(has_concurrent_write)
                + std::uint64_t(count_after - count_before));
        if (wanted.get_base_number() != before.get_number()
            || before.get_number() < this->in_force())
        {
            RC_ASSERT(after == before);
        }
        const auto outcome = reply.get_outcome();
        if (outcome == patch_outcome::accepted)
        {
            RC_ASSERT(count_before == 0 && count_after == 1);
            RC_ASSERT(reply.get_number() == after.get_number());
        }
        else if (outcome != patch_outcome::unknown)
        {
            RC_ASSERT(count_after == count_before);
        }
        if (after.get_number() >= this->in_force())
        {
            this->newest = after;
        }
        const auto recorded = this->contents.emplace(
            after.get_number(), encode_configuration(after));
        RC_ASSERT(recorded.first->second == encode_configuration(after));
    }

    /// Takes a snapshot, restores it, or writes back the configuration in
    /// force.
    void change_store()
    {
        const int action = *rc::gen::inRange(0, 12);
        if (action == 0)
        {
            this->snapshot = this->store;
        }
        else if (action == 1 && this->snapshot)
        {
            this->store = *this->snapshot;
        }
        else if (action < 5)
        {
            this->store.failed_reads = 0;
            this->store.lost_requests = 0;
            this->store.lost_responses = 0;
            this->store.before_put = {};
            patch_service<fake_store> service(this->store, 1);
            run(service.write_back(this->newest));
            RC_ASSERT(stored_in(this->store).get_number() >= this->in_force());
        }
    }

    fake_store store;
    std::optional<fake_store> snapshot;
    configuration newest = stored_in(store_of_first());
    std::map<core::version_number, std::string> contents;

    static fake_store store_of_first()
    {
        fake_store first;
        first.value = first_configuration;
        return first;
    }
};

/// Default seed; RC_PARAMS in the environment replaces it.
const int default_seed = setenv("RC_PARAMS", "seed=41", 0);

} // namespace

TEST_CASE("patches apply once, stale ones never, numbers never decrease",
    "[operators][property]")
{
    REQUIRE(default_seed == 0);
    REQUIRE(rc::check([] {
        patch_model model;
        const int steps = *rc::gen::inRange(1, 40);
        for (int i = 0; i < steps; ++i)
        {
            model.step();
        }
    }));
}
