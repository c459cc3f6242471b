#include "upstream/worker_register.hpp"

#include <catch2/catch.hpp>

#include <set>

using namespace pollenward;
using namespace pollenward::upstream;

namespace {

const core::time_point start = core::time_point() + core::seconds(100);

listed_worker entry(
    std::uint64_t started, std::uint64_t beat, bool is_leaving = false)
{
    return listed_worker::make(
        worker::make(core::worker_id("w"), core::endpoint(), core::zone_id("z"),
            is_leaving),
        core::service_id("s"), core::slot_count(6), core::milliseconds(0),
        started, beat);
}

} // namespace

// Guards against requests to a worker that has left.
TEST_CASE("a removed worker is gone at once", "[upstream]")
{
    worker_register known;
    known.put("w", entry(1, 1));
    known.remove({ "w" }, start);
    CHECK(known.workers().empty());
}

// Guards against a service without workers after an outage of the store, in
// which their entries lapsed.
TEST_CASE("what is missing just after an outage is kept for two seconds",
    "[upstream]")
{
    worker_register known;
    known.put("back", entry(1, 1));
    known.put("gone", entry(1, 1));
    known.on_outage_end(start);
    known.keep_only(std::set<std::string>(), start);
    CHECK(known.workers().size() == 2);
    known.put("back", entry(1, 2));
    CHECK_FALSE(known.expire(start + core::milliseconds(1900)));
    CHECK(known.expire(start + core::seconds(2)));
    CHECK(known.workers().size() == 1);
    CHECK(known.find("back") != nullptr);
}

// Guards against requests to a worker that left while this daemon did not
// reach the store.
TEST_CASE("one worker of many that is missing just after an outage is gone",
    "[upstream]")
{
    worker_register known;
    std::set<std::string> listed;
    for (int i = 0; i < 12; ++i)
    {
        const auto name = "w" + std::to_string(i);
        known.put(name, entry(1, 1));
        listed.insert(name);
    }
    known.on_outage_end(start);
    listed.erase("w0");
    known.keep_only(listed, start);
    CHECK(known.find("w0") == nullptr);
    known.remove({ "w1", "w2" }, start + core::seconds(1));
    CHECK(known.workers().size() == 9);
}

// Guards against a service without workers when the entries that lapsed are
// told one after the other.
TEST_CASE("entries that lapse one by one after an outage are kept beyond a "
          "quarter",
    "[upstream]")
{
    worker_register known;
    for (int i = 0; i < 12; ++i)
    {
        known.put("w" + std::to_string(i), entry(1, 1));
    }
    known.on_outage_end(start);
    for (int i = 0; i < 12; ++i)
    {
        known.remove({ "w" + std::to_string(i) }, start);
    }
    CHECK(known.workers().size() == 9);
    CHECK(known.get_expiry() == start + core::seconds(2));
    CHECK(known.expire(start + core::seconds(2)));
    CHECK(known.workers().empty());
}

// Guards against a worker that looks ready again because of an older entry.
TEST_CASE("an older entry does not replace a newer one", "[upstream]")
{
    worker_register known;
    known.put("w", entry(5, 7, true));
    known.put("w", entry(5, 6));
    CHECK(known.find("w")->get_worker().is_leaving());
    known.put("w", entry(4, 90));
    CHECK(known.find("w")->get_worker().is_leaving());
    known.put("w", entry(6, 1));
    CHECK_FALSE(known.find("w")->get_worker().is_leaving());
}
