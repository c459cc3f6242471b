#pragma once

#include "fleet/document.hpp"
#include "fleet/ping.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace pollenward::fleet {

/// Number of members to which a new version is pushed at once.
inline constexpr std::size_t push_fanout = 3;

/// How an offered version compares with the stored one.
enum class document_order {
    newer,
    same,
    older,
    /// The same number with another body. The stored document is kept.
    conflict
};

document_order compare(const std::optional<document_digest>& present,
    const document_digest& offered);

/// Hash over a set of digests; the order of the digests does not matter.
std::uint64_t hash_of(document_digests digests);

/// The transfers that bring the documents of a daemon and a peer to the same
/// versions (anti-entropy).
class sync_plan {
public:
    /// `own_digests` and `peer_digests` list all documents of either side.
    static sync_plan make(const document_digests& own_digests,
        const document_digests& peer_digests);

    /// Documents of which the peer has a newer version.
    const std::vector<core::document_name>& get_to_fetch() const
    {
        return this->to_fetch;
    }
    /// Documents of which the peer has an older version or none.
    const std::vector<core::document_name>& get_to_push() const
    {
        return this->to_push;
    }
    /// Documents with the same number and different bodies.
    const std::vector<core::document_name>& get_conflicts() const
    {
        return this->conflicts;
    }

    auto operator<=>(const sync_plan&) const = default;

private:
    std::vector<core::document_name> to_fetch;
    std::vector<core::document_name> to_push;
    std::vector<core::document_name> conflicts;
};

} // namespace pollenward::fleet
