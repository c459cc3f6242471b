#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <string_view>
#include <utility>
#include <vector>

namespace pollenward::core {

/// Score of a node for a key in rendezvous hashing (Thaler and Ravishankar,
/// 1998). Every daemon computes the same score.
std::uint64_t rendezvous_score(std::string_view key, std::string_view node);

/// The `count` node ids with the highest scores for `key`, highest first. When
/// a node leaves, only the keys that were assigned to it move.
template <class Id>
std::vector<Id> rendezvous_top(
    std::string_view key, const std::vector<Id>& nodes, std::size_t count)
{
    std::vector<std::pair<std::uint64_t, const Id*>> scored;
    scored.reserve(nodes.size());
    for (const Id& node : nodes)
    {
        scored.emplace_back(rendezvous_score(key, node.str()), &node);
    }
    const std::size_t kept = std::min(count, scored.size());
    std::partial_sort(scored.begin(),
        scored.begin() + static_cast<std::ptrdiff_t>(kept), scored.end(),
        [](const auto& left, const auto& right) {
            return left.first != right.first ? left.first > right.first
                                             : *left.second < *right.second;
        });
    std::vector<Id> top;
    top.reserve(kept);
    for (std::size_t i = 0; i < kept; ++i)
    {
        top.push_back(*scored[i].second);
    }
    return top;
}

} // namespace pollenward::core
