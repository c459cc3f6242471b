#include "core/sharded_map.hpp"
#include "core/sharded_snapshot.hpp"

#include <catch2/catch.hpp>

#include <atomic>
#include <memory>
#include <string>
#include <thread>
#include <vector>

using namespace pollenward::core;

// Guards against lost updates and, under the thread sanitizer, against
// unlocked access to a shard.
TEST_CASE("concurrent updates of one key are all kept", "[core][shards]")
{
    constexpr int thread_count = 4;
    constexpr int updates = 2000;
    sharded_map<std::string, int> counters;
    {
        std::vector<std::jthread> threads;
        for (int t = 0; t < thread_count; ++t)
        {
            threads.emplace_back([&] {
                for (int i = 0; i < updates; ++i)
                {
                    counters.update(std::to_string(i % 10),
                        [](const std::optional<int>& present) {
                            return std::optional(present.value_or(0) + 1);
                        });
                }
            });
        }
    }
    int total = 0;
    for (const auto& [key, value] : counters.entries())
    {
        total += value;
    }
    CHECK(counters.size() == 10);
    CHECK(total == thread_count * updates);
}

TEST_CASE("an update that returns nothing erases the entry", "[core]")
{
    sharded_map<int, int> numbers;
    numbers.store(1, 5);
    numbers.update(
        1, [](const std::optional<int>&) { return std::optional<int>(); });
    CHECK_FALSE(numbers.find(1));
}

TEST_CASE("an extracted value is removed from the map", "[core]")
{
    sharded_map<int, std::unique_ptr<int>> owned;
    CHECK(owned.insert(1, std::make_unique<int>(7)));
    CHECK_FALSE(owned.insert(1, std::make_unique<int>(8)));
    const auto extracted = owned.extract(1);
    REQUIRE(extracted);
    CHECK(**extracted == 7);
    CHECK_FALSE(owned.extract(1));
}

// Guards against readers that see a partly replaced value.
TEST_CASE("readers see one whole version of a snapshot", "[core][shards]")
{
    using pair_of_equals = std::pair<int, int>;
    sharded_snapshot<pair_of_equals> snapshot({ 0, 0 });
    std::atomic<bool> is_torn{ false };
    {
        std::jthread writer([&] {
            for (int i = 1; i <= 2000; ++i)
            {
                snapshot.store({ i, i });
            }
        });
        std::vector<std::jthread> readers;
        for (int t = 0; t < 3; ++t)
        {
            readers.emplace_back([&] {
                for (int i = 0; i < 2000; ++i)
                {
                    const bool is_whole
                        = snapshot.read([](const pair_of_equals& value) {
                              return value.first == value.second;
                          });
                    is_torn = is_torn || !is_whole;
                }
            });
        }
    }
    CHECK_FALSE(is_torn);
}
