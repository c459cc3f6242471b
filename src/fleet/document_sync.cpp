#include "fleet/document_sync.hpp"

#include <xxhash.h>

#include <algorithm>
#include <map>
#include <utility>

namespace pollenward::fleet {

document document::make(
    core::document_name name, core::version_number version, std::string body)
{
    document made;
    made.digest = document_digest::make(
        std::move(name), version, XXH3_64bits(body.data(), body.size()));
    made.body = std::move(body);
    return made;
}

document_order compare(const std::optional<document_digest>& present,
    const document_digest& offered)
{
    if (!present || offered.get_version() > present->get_version())
    {
        return document_order::newer;
    }
    if (offered.get_version() < present->get_version())
    {
        return document_order::older;
    }
    return offered.get_hash() == present->get_hash() ? document_order::same
                                                     : document_order::conflict;
}

std::uint64_t hash_of(document_digests digests)
{
    std::sort(digests.begin(), digests.end());
    std::uint64_t hash = 0;
    for (const document_digest& each : digests)
    {
        const std::uint64_t numbers[]
            = { hash, each.get_version().get(), each.get_hash() };
        const std::string& name = each.get_name().str();
        hash = XXH3_64bits_withSeed(
            name.data(), name.size(), XXH3_64bits(numbers, sizeof(numbers)));
    }
    return hash;
}

sync_plan sync_plan::make(
    const document_digests& own_digests, const document_digests& peer_digests)
{
    std::map<core::document_name, document_digest> unmatched;
    for (const document_digest& each : own_digests)
    {
        unmatched.insert_or_assign(each.get_name(), each);
    }
    sync_plan made;
    for (const document_digest& offered : peer_digests)
    {
        const auto node = unmatched.extract(offered.get_name());
        const auto present
            = node.empty() ? std::nullopt : std::optional(node.mapped());
        switch (compare(present, offered))
        {
        case document_order::newer:
            made.to_fetch.push_back(offered.get_name());
            break;
        case document_order::older:
            made.to_push.push_back(offered.get_name());
            break;
        case document_order::conflict:
            made.conflicts.push_back(offered.get_name());
            break;
        case document_order::same:
            break;
        }
    }
    for (const auto& [name, digest] : unmatched)
    {
        made.to_push.push_back(name);
    }
    return made;
}

} // namespace pollenward::fleet
