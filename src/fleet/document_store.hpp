#pragma once

#include "core/sharded_map.hpp"
#include "fleet/document_sync.hpp"

#include <atomic>
#include <cstdint>
#include <memory>
#include <optional>

namespace pollenward::fleet {

using document_pointer = std::shared_ptr<const document>;

/// The newest accepted version of each document. Thread safe.
class document_store {
public:
    /// Stores a document if it is newer than the stored one. Returns how it
    /// compares.
    document_order store_if_newer(const document_pointer& offered)
    {
        document_order order = document_order::same;
        this->documents.update(offered->get_name(),
            [&](const std::optional<document_pointer>& present) {
                const auto digest = present
                    ? std::optional((*present)->get_digest())
                    : std::nullopt;
                order = compare(digest, offered->get_digest());
                return order == document_order::newer ? offered : *present;
            });
        if (order == document_order::conflict)
        {
            this->add_conflicts(1);
        }
        return order;
    }

    /// The document in its newest accepted version; null if there is none.
    document_pointer find(const core::document_name& name) const
    {
        return this->documents.find(name).value_or(nullptr);
    }

    document_digests digests() const
    {
        document_digests all;
        for (const auto& [name, each] : this->documents.entries())
        {
            all.push_back(each->get_digest());
        }
        return all;
    }

    void add_conflicts(std::uint64_t count) { this->conflicts += count; }
    std::uint64_t count_conflicts() const { return this->conflicts.load(); }

private:
    core::sharded_map<core::document_name, document_pointer> documents;
    std::atomic<std::uint64_t> conflicts{ 0 };
};

} // namespace pollenward::fleet
