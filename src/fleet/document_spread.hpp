#pragma once

#include "fleet/document.hpp"
#include "fleet/ping.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace pollenward::fleet {

/// Members that get a new version at once.
inline constexpr std::size_t push_fanout = 3;

/// How an offered version relates to the one at hand.
enum class document_order {
    newer,
    same,
    older,
    /// The same number with another body. The document at hand is kept.
    conflict
};

document_order compare(const std::optional<document_digest>& present,
    const document_digest& offered);

/// Hash over a set of digests; the order of the digests does not matter.
std::uint64_t hash_of(document_digests digests);

/// What a daemon does after it has seen the digests of a peer.
class spread_plan {
public:
    /// `mine` and `theirs` list all documents of either side.
    static spread_plan make(
        const document_digests& mine, const document_digests& theirs);

    /// Documents that the peer holds in a newer version.
    const std::vector<core::document_name>& get_to_fetch() const
    {
        return this->to_fetch;
    }
    /// Documents that the peer lacks or holds in an older version.
    const std::vector<core::document_name>& get_to_push() const
    {
        return this->to_push;
    }
    /// Documents with the same number and different bodies.
    const std::vector<core::document_name>& get_conflicts() const
    {
        return this->conflicts;
    }

    auto operator<=>(const spread_plan&) const = default;

private:
    std::vector<core::document_name> to_fetch;
    std::vector<core::document_name> to_push;
    std::vector<core::document_name> conflicts;
};

} // namespace pollenward::fleet
