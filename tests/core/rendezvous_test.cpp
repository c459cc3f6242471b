#include "core/ids.hpp"
#include "core/rendezvous.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <string>
#include <vector>

using namespace pollenward::core;

namespace {

std::vector<daemon_id> make_nodes(int count)
{
    std::vector<daemon_id> nodes;
    for (int i = 0; i < count; ++i)
    {
        nodes.emplace_back("daemon-" + std::to_string(i));
    }
    return nodes;
}

} // namespace

// Guards against a reassignment of all keys when one host leaves: only the keys
// of that host may move.
TEST_CASE("a node that leaves moves only its own keys", "[core]")
{
    const auto nodes = make_nodes(44);
    auto remaining = nodes;
    const daemon_id left = remaining[7];
    remaining.erase(remaining.begin() + 7);
    for (int i = 0; i < 500; ++i)
    {
        const std::string key = "service-" + std::to_string(i);
        const auto before = rendezvous_top(key, nodes, 2);
        const auto after = rendezvous_top(key, remaining, 2);
        const bool held
            = std::find(before.begin(), before.end(), left) != before.end();
        CHECK((before == after) == !held);
    }
}

TEST_CASE("the order of the node list does not matter", "[core]")
{
    auto nodes = make_nodes(20);
    const auto before = rendezvous_top("key", nodes, 3);
    std::reverse(nodes.begin(), nodes.end());
    CHECK(rendezvous_top("key", nodes, 3) == before);
    CHECK(rendezvous_top("key", nodes, 50).size() == 20);
}
