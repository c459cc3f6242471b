#include "upstream/path_fault.hpp"

#include "upstream/failure_rate.hpp"

#include <algorithm>
#include <iterator>
#include <map>
#include <utility>

namespace pollenward::upstream {

namespace {

    using worker_ids = std::vector<core::worker_id>;

    bool fails_with_most(const source_evidence& source)
    {
        int used = 0;
        int failing = 0;
        for (const auto& [worker, counts] : source.get_counts())
        {
            used += has_traffic(counts) ? 1 : 0;
            failing += has_traffic(counts) && shows_failures(counts) ? 1 : 0;
        }
        return used >= 2 && failing * 2 > used;
    }

    std::map<core::zone_id, worker_ids> ids_by_zone(
        const std::vector<worker>& workers)
    {
        std::map<core::zone_id, worker_ids> grouped;
        for (const worker& each : workers)
        {
            grouped[each.get_zone()].push_back(each.get_id());
        }
        return grouped;
    }

    /// Those of the workers on which the zone's requests fail, if they are at
    /// least two and a majority of those that it uses; otherwise none.
    worker_ids failing_majority(
        const source_evidence& zone, const worker_ids& workers)
    {
        std::size_t used = 0;
        worker_ids failing;
        for (const core::worker_id& each : workers)
        {
            const evidence_counts counts = zone.counts_of(each);
            used += has_traffic(counts) ? 1U : 0U;
            if (has_traffic(counts) && shows_failures(counts))
            {
                failing.push_back(each);
            }
        }
        const bool is_majority
            = failing.size() >= 2 && failing.size() * 2 > used;
        return is_majority ? failing : worker_ids{};
    }

    /// True if the zone reaches most of these workers without failures.
    bool reaches_most(const source_evidence& zone, const worker_ids& workers)
    {
        const auto reached = std::count_if(
            workers.begin(), workers.end(), [&](const auto& id) {
                const evidence_counts counts = zone.counts_of(id);
                // Only a recent success shows that the path works now.
                return counts.get_fast_successes() >= 0.5
                    && !shows_failures(counts);
            });
        return static_cast<std::size_t>(reached) * 2 > workers.size();
    }

    source_evidence without_all(source_evidence zone, const worker_ids& workers)
    {
        for (const core::worker_id& each : workers)
        {
            zone = zone.without(each);
        }
        return zone;
    }

} // namespace

std::vector<source_evidence> without_faulty_sources(
    const std::vector<source_evidence>& sources)
{
    std::vector<source_evidence> kept;
    std::copy_if(sources.begin(), sources.end(), std::back_inserter(kept),
        [](const auto& each) { return !fails_with_most(each); });
    return kept;
}

std::vector<source_evidence> sum_by_zone(
    const std::vector<source_evidence>& sources)
{
    std::map<core::zone_id, source_evidence> sums;
    for (const source_evidence& each : sources)
    {
        const auto& zone = each.get_zone();
        const auto sum = sums.try_emplace(
            zone, source_evidence::make(zone.str(), zone, {}));
        sum.first->second = sum.first->second + each;
    }
    std::vector<source_evidence> zones;
    zones.reserve(sums.size());
    for (auto& [zone, sum] : sums)
    {
        zones.push_back(std::move(sum));
    }
    return zones;
}

std::vector<source_evidence> without_faulty_zone_paths(
    const std::vector<source_evidence>& zones,
    const std::vector<worker>& workers)
{
    const auto grouped = ids_by_zone(workers);
    std::vector<source_evidence> kept = zones;
    for (std::size_t i = 0; i < zones.size(); ++i)
    {
        for (const auto& [worker_zone, ids] : grouped)
        {
            const worker_ids failing = failing_majority(zones[i], ids);
            const bool is_path_fault = !failing.empty()
                && std::any_of(
                    zones.begin(), zones.end(), [&](const auto& zone) {
                        return reaches_most(zone, failing);
                    });
            if (is_path_fault)
            {
                kept[i] = without_all(std::move(kept[i]), ids);
            }
        }
    }
    return kept;
}

} // namespace pollenward::upstream
