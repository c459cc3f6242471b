#pragma once

#include "core/ids.hpp"
#include "core/rank.hpp"
#include "upstream/evidence_counts.hpp"

#include <array>
#include <compare>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace pollenward::fleet {

/// Requests running and waiting, by rank, averaged over about a second.
using rank_demand = std::array<double, core::rank_count>;

/// The evidence of one source about one worker.
class evidence_entry {
public:
    static evidence_entry make(
        core::worker_id worker, upstream::evidence_counts counts)
    {
        evidence_entry made;
        made.worker = std::move(worker);
        made.counts = counts;
        return made;
    }

    const core::worker_id& get_worker() const { return this->worker; }
    const upstream::evidence_counts& get_counts() const { return this->counts; }

    auto operator<=>(const evidence_entry&) const = default;

private:
    core::worker_id worker;
    upstream::evidence_counts counts;
};

/// Whether a report covers one daemon or sums up a whole zone.
enum class report_level { daemon, zone };

/// The present evidence and demand of one source about one service. A newer
/// report of the same source replaces an older one and is not added to it, so
/// that lost, repeated and late reports do no harm.
class evidence_report {
public:
    /// `source` is the id of a daemon or of a zone, as `level` says. `sequence`
    /// grows with each report of that source and incarnation.
    static evidence_report make(report_level level, std::string source,
        core::zone_id zone, core::service_id service, std::uint64_t sequence,
        std::vector<evidence_entry> entries, const rank_demand& demand)
    {
        evidence_report made;
        made.level = level;
        made.source = std::move(source);
        made.zone = std::move(zone);
        made.service = std::move(service);
        made.sequence = sequence;
        made.entries = std::move(entries);
        made.demand = demand;
        return made;
    }

    /// A copy with the workers that reported that they are leaving.
    evidence_report with_draining(std::vector<core::worker_id> workers) const
    {
        evidence_report changed = *this;
        changed.draining = std::move(workers);
        return changed;
    }

    report_level get_level() const { return this->level; }
    const std::string& get_source() const { return this->source; }
    const core::zone_id& get_zone() const { return this->zone; }
    const core::service_id& get_service() const { return this->service; }
    std::uint64_t get_sequence() const { return this->sequence; }

    const std::vector<evidence_entry>& get_entries() const
    {
        return this->entries;
    }

    const rank_demand& get_demand() const { return this->demand; }

    const std::vector<core::worker_id>& get_draining() const
    {
        return this->draining;
    }

    auto operator<=>(const evidence_report&) const = default;

private:
    report_level level = report_level::daemon;
    std::string source;
    core::zone_id zone;
    core::service_id service;
    std::uint64_t sequence = 0;
    std::vector<evidence_entry> entries;
    rank_demand demand{};
    std::vector<core::worker_id> draining;
};

} // namespace pollenward::fleet
