#include "upstream/ejection_policy.hpp"

#include "upstream/failure_rate.hpp"
#include "upstream/floor.hpp"
#include "upstream/path_fault.hpp"
#include "upstream/worker_assessment.hpp"

#include <algorithm>
#include <map>
#include <optional>
#include <utility>

namespace pollenward::upstream {

namespace {

    // For the rate without the zones with the highest failure rates. The other
    // zones only have to confirm a fault; the full bound would require the same
    // evidence twice.
    constexpr double trimmed_rate_bound = failure_rate_bound / 2;
    // Lower than for a first ejection: a trial starts with a sixteenth of the
    // traffic, and the worker has failed before.
    constexpr double min_trial_failures = 2;
    // A worker that fails 3 in 10 requests passes a step of ten by chance in 3
    // of 100 cases.
    constexpr double successes_per_step = 10;
    // With little traffic, a step of the trial ends after this time if no
    // request failed.
    constexpr core::seconds low_traffic_step_duration(30);
    // An ejection this recent and the present suspects may have one cause.
    constexpr core::seconds shared_cause_window(10);
    // A worker that was not ejected for this long has its ejection count reset,
    // so its next ejection lasts 5 s.
    constexpr core::duration record_lifetime = std::chrono::minutes(10);

    /// True if a majority of the zones, and at least two unless there is only
    /// one, see failures. Two alone are not enough: a region that is cut off
    /// from a worker has two zones. Unknown zones count as zones without
    /// failures; otherwise a few zones that are cut off themselves could decide
    /// alone.
    bool fails_in_most_zones(
        const worker_assessment& assessment, int unknown_zones)
    {
        const int known = assessment.zones_with_traffic + unknown_zones;
        const int needed = std::max(std::min(2, known), known / 2 + 1);
        return assessment.zones_with_failures >= needed;
    }

    /// The failure rate of all other workers together in the slow window. The
    /// fast window is too noisy for a comparison at low traffic.
    double failure_rate_of_others(const std::vector<worker_assessment>& all,
        const core::worker_id& worker)
    {
        double failures = 0;
        double total = 0;
        for (const worker_assessment& each : all)
        {
            // Suspects are excluded; otherwise two faulty workers would mask
            // each other.
            if (each.worker != worker && !each.is_suspect())
            {
                failures += each.recent.get_slow_failures();
                total += each.recent.get_slow_failures()
                    + each.recent.get_slow_successes();
            }
        }
        return total > 0 ? failures / total : 0;
    }

    bool is_recently_ejected(
        const ejection_record& record, core::time_point now)
    {
        return record.get_state() == worker_state::ejected
            && now - record.get_since() <= shared_cause_window;
    }

    /// True if at least half of the workers with traffic, and at least two,
    /// started to fail at about the same time.
    bool has_shared_cause(const std::vector<worker_assessment>& all,
        const ejection_record_map& records, core::time_point now)
    {
        int used = 0;
        int failing = 0;
        for (const worker_assessment& each : all)
        {
            const auto record = records.find(each.worker);
            const bool is_ejected = record != records.end()
                && is_recently_ejected(record->second, now);
            const bool is_used = is_ejected || has_traffic(each.total);
            used += is_used ? 1 : 0;
            failing += is_used && (is_ejected || each.is_suspect()) ? 1 : 0;
        }
        return failing >= 2 && failing * 2 >= used;
    }

    /// True if the worker has recent successes and no recent failure.
    bool is_healthy(const evidence_counts& counts)
    {
        return counts.get_fast_successes() >= 1
            && counts.get_fast_failures() < 0.5;
    }

    /// The zones in which at least two workers fail and none is healthy: the
    /// zone as a whole is unreachable or faulty, which is a shared cause. Each
    /// daemon avoids such workers by its own path_failure_tracker.
    std::vector<core::zone_id> find_unreachable_zones(
        const std::vector<worker>& workers,
        const std::vector<worker_assessment>& all,
        const ejection_record_map& records, core::time_point now)
    {
        struct tally {
            int failing = 0;
            int healthy = 0;
        };
        std::map<core::zone_id, tally> tallies;
        for (std::size_t i = 0; i < workers.size(); ++i)
        {
            tally& zone = tallies[workers[i].get_zone()];
            const auto record = records.find(workers[i].get_id());
            const bool is_ejected = record != records.end()
                && is_recently_ejected(record->second, now);
            const bool is_failing = is_ejected || all[i].is_suspect();
            zone.failing += is_failing ? 1 : 0;
            zone.healthy += !is_failing && is_healthy(all[i].recent) ? 1 : 0;
        }
        std::vector<core::zone_id> unreachable;
        for (const auto& [zone, count] : tallies)
        {
            if (count.failing >= 2 && count.healthy == 0)
            {
                unreachable.push_back(zone);
            }
        }
        return unreachable;
    }

    bool is_step_complete(const ejection_record& record,
        const evidence_counts& recent, core::time_point now)
    {
        const double successes = recent.get_slow_successes();
        const double failures = recent.get_slow_failures();
        const bool is_below_bound
            = failures <= failure_rate_bound * (failures + successes);
        const bool is_late
            = now - record.get_since() >= low_traffic_step_duration;
        return is_below_bound
            && (successes >= successes_per_step
                || (is_late && successes >= 0.5 && failures < 0.5));
    }

    bool has_failed_trial(const evidence_counts& recent)
    {
        return failure_bound_of(recent, min_trial_failures)
            > failure_rate_bound;
    }

    /// The next record of a worker that was ejected before, from its own
    /// evidence only; nothing if the record has expired.
    std::optional<ejection_record> advance_record(const ejection_record& record,
        const worker_assessment& assessment, bool fails_in_most,
        core::time_point now)
    {
        switch (record.get_state())
        {
        case worker_state::ejected:
            return now >= record.get_ejection_end()
                ? record.with_next_step(assessment.total, now)
                : record;
        case worker_state::trial: {
            if (has_failed_trial(assessment.recent) && fails_in_most)
            {
                return record.with_ejection(now);
            }
            return is_step_complete(record, assessment.recent, now)
                ? record.with_next_step(assessment.total, now)
                : record;
        }
        case worker_state::active:
            break;
        }
        return now - record.get_since() >= record_lifetime
            ? std::nullopt
            : std::optional(record);
    }

    /// Remaining capacity, in workers, when the records are applied.
    double capacity_of(const ejection_input& input,
        const ejection_record_map& records, core::time_point now)
    {
        std::vector<received_verdict> verdicts;
        for (const auto& [id, record] : records)
        {
            verdicts.push_back(
                received_verdict::make(record.to_verdict(now), now));
        }
        double capacity = 0;
        // Floor share 0: the capacity before the floor restores workers.
        for (const auto& each : usable_workers(input.get_workers(), verdicts,
                 input.get_draining(), {}, 0, now))
        {
            capacity += each.get_weight();
        }
        return capacity;
    }

    bool is_live(const worker& who, const ejection_input& input)
    {
        const auto& draining = input.get_draining();
        return !who.is_leaving()
            && std::find(draining.begin(), draining.end(), who.get_id())
            == draining.end();
    }

    /// True if the evidence alone is enough for an ejection.
    bool has_ejection_evidence(
        const worker_assessment& assessment, double others, int unknown_zones)
    {
        return assessment.lower_bound > std::max(failure_rate_bound, others)
            && assessment.trimmed_lower_bound
            > std::max(trimmed_rate_bound, others)
            && is_failing_now(assessment.recent)
            && fails_in_most_zones(assessment, unknown_zones);
    }

    /// True if another aggregator ejected the worker and two zones still show
    /// failures. The zones of that aggregator no longer send requests to the
    /// worker, so the remaining evidence may never suffice alone.
    bool is_confirmed(const worker_assessment& assessment,
        const std::vector<core::worker_id>& ejected_elsewhere)
    {
        return assessment.is_suspect() && assessment.zones_with_failures >= 2
            && std::find(ejected_elsewhere.begin(), ejected_elsewhere.end(),
                   assessment.worker)
            != ejected_elsewhere.end();
    }

    /// The active workers that should be ejected, highest lower bound of the
    /// failure rate first.
    std::vector<worker_assessment> find_candidates(const ejection_input& input,
        const std::vector<worker_assessment>& all,
        const std::vector<core::zone_id>& unreachable,
        const ejection_record_map& records)
    {
        std::vector<worker_assessment> found;
        for (std::size_t i = 0; i < all.size(); ++i)
        {
            const worker& who = input.get_workers()[i];
            const auto record = records.find(who.get_id());
            const bool is_active = record == records.end()
                || record->second.get_state() == worker_state::active;
            const double others = failure_rate_of_others(all, who.get_id());
            const bool is_cut_off = std::find(unreachable.begin(),
                                        unreachable.end(), who.get_zone())
                != unreachable.end();
            if (is_active && is_live(who, input) && !is_cut_off
                && (has_ejection_evidence(
                        all[i], others, input.get_unknown_zones())
                    || is_confirmed(all[i], input.get_ejected_elsewhere())))
            {
                found.push_back(all[i]);
            }
        }
        std::sort(found.begin(), found.end(),
            [](const auto& left, const auto& right) {
                return left.lower_bound != right.lower_bound
                    ? left.lower_bound > right.lower_bound
                    : left.worker < right.worker;
            });
        return found;
    }

    void eject(const std::vector<worker_assessment>& candidates,
        const ejection_input& input, ejection_record_map& records,
        core::time_point now)
    {
        const double required = required_capacity(
            input.get_workers(), input.get_draining(), input.get_floor_share());
        for (const worker_assessment& each : candidates)
        {
            ejection_record_map next = records;
            const auto present = next.try_emplace(
                each.worker, ejection_record::make(each.worker));
            present.first->second = present.first->second.with_ejection(now);
            if (capacity_of(input, next, now) >= required)
            {
                records = std::move(next);
            }
        }
    }

    ejection_record_map advance_records(
        const std::vector<ejection_record>& previous,
        const std::vector<worker_assessment>& all, int unknown_zones,
        bool is_shared, core::time_point now)
    {
        ejection_record_map records;
        for (const ejection_record& each : previous)
        {
            const auto assessment = std::find_if(
                all.begin(), all.end(), [&](const worker_assessment& other) {
                    return other.worker == each.get_worker();
                });
            if (assessment == all.end())
            {
                continue; // no longer listed
            }
            const bool fails_in_most
                = !is_shared && fails_in_most_zones(*assessment, unknown_zones);
            if (const auto next
                = advance_record(each, *assessment, fails_in_most, now))
            {
                records.emplace(next->get_worker(), *next);
            }
        }
        return records;
    }

} // namespace

std::vector<ejection_record> decide_ejections(const ejection_input& input,
    const std::vector<ejection_record>& previous, core::time_point now)
{
    const auto zone_evidence
        = sum_by_zone(without_faulty_sources(input.get_sources()));
    const auto zones
        = without_faulty_zone_paths(zone_evidence, input.get_workers());
    ejection_record_map previous_by_id;
    for (const ejection_record& each : previous)
    {
        previous_by_id.emplace(each.get_worker(), each);
    }
    const auto all = assess_all(input.get_workers(), zones,
        input.get_unknown_zones(), previous_by_id, now);
    const bool is_shared = has_shared_cause(all, previous_by_id, now);
    ejection_record_map records = advance_records(
        previous, all, input.get_unknown_zones(), is_shared, now);
    if (!is_shared)
    {
        // Uses the evidence of faulty paths too: without it, the only worker
        // of a zone that still has evidence would look like the only faulty
        // one.
        const auto unreachable = find_unreachable_zones(input.get_workers(),
            assess_all(input.get_workers(), zone_evidence,
                input.get_unknown_zones(), previous_by_id, now),
            records, now);
        eject(find_candidates(input, all, unreachable, records), input, records,
            now);
    }
    std::vector<ejection_record> next;
    for (auto& [id, record] : records)
    {
        next.push_back(std::move(record));
    }
    return next;
}

} // namespace pollenward::upstream
