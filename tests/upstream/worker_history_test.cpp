#include "upstream/worker_history.hpp"

#include <catch2/catch.hpp>

using namespace pollenward;
using core::store_revision;
using upstream::worker_history;
using names = std::vector<std::string>;

// Guards against a daemon that is told only a part of what it missed.
TEST_CASE("changes are told from any revision since the list", "[upstream]")
{
    worker_history history;
    CHECK_FALSE(history.changed_since(store_revision(9)));
    history.restart({ "a", "b" }, store_revision(10));
    history.on_change("b", store_revision(12), true);
    history.on_change("c", store_revision(14), false);
    CHECK(history.changed_since(store_revision(10)) == names{ "b", "c" });
    CHECK(history.changed_since(store_revision(12)) == names{ "c" });
    CHECK(history.changed_since(store_revision(14)) == names{});
    // What came and went before the list is not known.
    CHECK_FALSE(history.changed_since(store_revision(9)));
}

// Guards against memory that grows with each worker that ever was.
TEST_CASE("removed workers are forgotten, and then all are told", "[upstream]")
{
    worker_history history;
    history.restart({}, store_revision(1));
    for (std::size_t i = 0; i <= worker_history::most_removed; ++i)
    {
        history.on_change("w" + std::to_string(i), store_revision(2 + i), true);
    }
    const store_revision last(2 + worker_history::most_removed);
    CHECK_FALSE(history.changed_since(store_revision(2)));
    CHECK(history.changed_since(last) == names{});
}
