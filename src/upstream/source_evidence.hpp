#pragma once

#include "core/ids.hpp"
#include "upstream/evidence_counts.hpp"

#include <compare>
#include <map>
#include <string>
#include <utility>

namespace pollenward::upstream {

/// The counts of one source, a daemon or a whole zone, for the workers of a
/// service.
class source_evidence {
public:
    using counts_by_worker = std::map<core::worker_id, evidence_counts>;

    static source_evidence make(
        std::string source, core::zone_id zone, counts_by_worker counts)
    {
        source_evidence made;
        made.source = std::move(source);
        made.zone = std::move(zone);
        made.counts = std::move(counts);
        return made;
    }

    const std::string& get_source() const { return this->source; }
    const core::zone_id& get_zone() const { return this->zone; }
    const counts_by_worker& get_counts() const { return this->counts; }

    /// The counts of the worker; zero if the source has no traffic to it.
    evidence_counts counts_of(const core::worker_id& worker) const
    {
        const auto found = this->counts.find(worker);
        return found == this->counts.end() ? evidence_counts{} : found->second;
    }

    /// The sum of this evidence and that of another source of the zone.
    source_evidence operator+(const source_evidence& other) const
    {
        source_evidence sum = *this;
        for (const auto& [worker, added] : other.counts)
        {
            evidence_counts& present = sum.counts[worker];
            present = present + added;
        }
        return sum;
    }

    source_evidence without(const core::worker_id& worker) const
    {
        source_evidence rest = *this;
        rest.counts.erase(worker);
        return rest;
    }

    auto operator<=>(const source_evidence&) const = default;

private:
    std::string source;
    core::zone_id zone;
    counts_by_worker counts;
};

} // namespace pollenward::upstream
