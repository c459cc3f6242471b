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

    // Without the zones that see the worker worst, the others only have to
    // confirm a fault; the full bound would ask for the same evidence twice.
    constexpr double trimmed_rate_bound = failure_rate_bound / 2;
    // On trial, traffic is a sixteenth, and the worker was bad before.
    constexpr double least_trial_failures = 2;
    // A worker that fails 3 in 10 passes ten requests by chance in 3 of 100.
    constexpr double successes_per_step = 10;
    // With little traffic, a step ends after this time if nothing failed.
    constexpr core::seconds longest_step(30);
    // Within this time, ejections and new suspicions count as "at once".
    constexpr core::seconds shared_cause_window(10);
    // A worker without an ejection for this long starts again at 5 s.
    constexpr core::duration memory = std::chrono::minutes(10);

    /// Most of the zones must see the failures, not just two: a region that is
    /// cut off from a worker has two zones. Zones whose view is not known count
    /// as zones that see none, or a few zones that are cut off themselves would
    /// decide alone.
    bool is_seen_widely(const assessment& made, int unknown_zones)
    {
        const int known = made.zones_with_traffic + unknown_zones;
        const int needed = std::max(std::min(2, known), known / 2 + 1);
        return made.zones_with_failures >= needed;
    }

    /// The failure rate of all other workers together, in the slow window: the
    /// fast one is too noisy to compare with at low traffic.
    double rate_of_others(
        const std::vector<assessment>& all, const core::worker_id& worker)
    {
        double failures = 0;
        double total = 0;
        for (const assessment& each : all)
        {
            // Suspects are left out, or two bad workers would hide each other.
            if (each.worker != worker && !each.is_suspect())
            {
                failures += each.recent.get_slow_failures();
                total += each.recent.get_slow_failures()
                    + each.recent.get_slow_successes();
            }
        }
        return total > 0 ? failures / total : 0;
    }

    bool is_recently_ejected(const worker_record& record, core::time_point now)
    {
        return record.get_state() == worker_state::ejected
            && now - record.get_since() <= shared_cause_window;
    }

    /// True if half of the workers with traffic, and at least two, turned bad
    /// at about the same time.
    bool has_shared_cause(const std::vector<assessment>& all,
        const record_map& records, core::time_point now)
    {
        int used = 0;
        int bad = 0;
        for (const assessment& each : all)
        {
            const auto record = records.find(each.worker);
            const bool is_ejected = record != records.end()
                && is_recently_ejected(record->second, now);
            const bool is_used = is_ejected || has_traffic(each.total);
            used += is_used ? 1 : 0;
            bad += is_used && (is_ejected || each.is_suspect()) ? 1 : 0;
        }
        return bad >= 2 && bad * 2 >= used;
    }

    /// True if the worker was reached lately and nothing failed.
    bool is_known_good(const evidence_counts& counts)
    {
        return counts.get_fast_successes() >= 1
            && counts.get_fast_failures() < 0.5;
    }

    /// The zones in which at least two workers show failures and none is known
    /// to be good: the zone as a whole is cut off or broken, which is a shared
    /// cause. Each daemon avoids its workers on its own (local_avoidance).
    std::vector<core::zone_id> unreachable_zones(
        const std::vector<worker>& workers, const std::vector<assessment>& all,
        const record_map& records, core::time_point now)
    {
        struct tally {
            int bad = 0;
            int good = 0;
        };
        std::map<core::zone_id, tally> tallies;
        for (std::size_t i = 0; i < workers.size(); ++i)
        {
            tally& zone = tallies[workers[i].get_zone()];
            const auto record = records.find(workers[i].get_id());
            const bool is_ejected = record != records.end()
                && is_recently_ejected(record->second, now);
            const bool is_bad = is_ejected || all[i].is_suspect();
            zone.bad += is_bad ? 1 : 0;
            zone.good += !is_bad && is_known_good(all[i].recent) ? 1 : 0;
        }
        std::vector<core::zone_id> unreachable;
        for (const auto& [zone, count] : tallies)
        {
            if (count.bad >= 2 && count.good == 0)
            {
                unreachable.push_back(zone);
            }
        }
        return unreachable;
    }

    bool may_step(const worker_record& record, const evidence_counts& recent,
        core::time_point now)
    {
        const double successes = recent.get_slow_successes();
        const double failures = recent.get_slow_failures();
        const bool is_good
            = failures <= failure_rate_bound * (failures + successes);
        const bool is_late = now - record.get_since() >= longest_step;
        return is_good
            && (successes >= successes_per_step
                || (is_late && successes >= 0.5 && failures < 0.5));
    }

    bool has_failed_trial(const evidence_counts& recent)
    {
        return failure_bound_of(recent, least_trial_failures)
            > failure_rate_bound;
    }

    /// The next record of a worker that was ejected before, by its own
    /// evidence only; nothing if it can be forgotten.
    std::optional<worker_record> advance(const worker_record& record,
        const assessment& made, bool is_wide, core::time_point now)
    {
        switch (record.get_state())
        {
        case worker_state::ejected:
            return now >= record.get_hold_end()
                ? record.with_step(made.total, now)
                : record;
        case worker_state::trial: {
            if (has_failed_trial(made.recent) && is_wide)
            {
                return record.with_ejection(now);
            }
            return may_step(record, made.recent, now)
                ? record.with_step(made.total, now)
                : record;
        }
        case worker_state::active:
            break;
        }
        return now - record.get_since() >= memory ? std::nullopt
                                                  : std::optional(record);
    }

    /// Capacity, in workers, that the records leave.
    double capacity_of(const ejection_input& input, const record_map& records,
        core::time_point now)
    {
        std::vector<held_verdict> verdicts;
        for (const auto& [id, record] : records)
        {
            verdicts.push_back(held_verdict::make(record.to_verdict(now), now));
        }
        double capacity = 0;
        // Floor share 0: what the ejections leave, without the floor's help.
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
    bool is_condemned(const assessment& made, double others, int unknown_zones)
    {
        return made.lower_bound > std::max(failure_rate_bound, others)
            && made.trimmed_lower_bound > std::max(trimmed_rate_bound, others)
            && is_failing_now(made.recent)
            && is_seen_widely(made, unknown_zones);
    }

    /// True if another home ejected the worker and two zones still show
    /// failures. The zones of the other home send the worker no more work, so
    /// that the evidence left may never be enough alone.
    bool is_confirmed(const assessment& made,
        const std::vector<core::worker_id>& ejected_elsewhere)
    {
        return made.is_suspect() && made.zones_with_failures >= 2
            && std::find(ejected_elsewhere.begin(), ejected_elsewhere.end(),
                   made.worker)
            != ejected_elsewhere.end();
    }

    /// The active workers that the evidence condemns, worst first.
    std::vector<assessment> candidates(const ejection_input& input,
        const std::vector<assessment>& all,
        const std::vector<core::zone_id>& unreachable,
        const record_map& records)
    {
        std::vector<assessment> found;
        for (std::size_t i = 0; i < all.size(); ++i)
        {
            const worker& who = input.get_workers()[i];
            const auto record = records.find(who.get_id());
            const bool is_active = record == records.end()
                || record->second.get_state() == worker_state::active;
            const double others = rate_of_others(all, who.get_id());
            const bool is_cut_off = std::find(unreachable.begin(),
                                        unreachable.end(), who.get_zone())
                != unreachable.end();
            if (is_active && is_live(who, input) && !is_cut_off
                && (is_condemned(all[i], others, input.get_silent_zones())
                    || is_confirmed(all[i], input.get_elsewhere())))
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

    void eject(const std::vector<assessment>& condemned,
        const ejection_input& input, record_map& records, core::time_point now)
    {
        const double required = required_capacity(
            input.get_workers(), input.get_draining(), input.get_floor_share());
        for (const assessment& each : condemned)
        {
            record_map next = records;
            const auto present = next.try_emplace(
                each.worker, worker_record::make(each.worker));
            present.first->second = present.first->second.with_ejection(now);
            if (capacity_of(input, next, now) >= required)
            {
                records = std::move(next);
            }
        }
    }

    record_map advance_all(const std::vector<worker_record>& previous,
        const std::vector<assessment>& all, int silent_zones, bool is_shared,
        core::time_point now)
    {
        record_map records;
        for (const worker_record& each : previous)
        {
            const auto made = std::find_if(
                all.begin(), all.end(), [&](const assessment& other) {
                    return other.worker == each.get_worker();
                });
            if (made == all.end())
            {
                continue; // no longer listed
            }
            const bool is_wide
                = !is_shared && is_seen_widely(*made, silent_zones);
            if (const auto next = advance(each, *made, is_wide, now))
            {
                records.emplace(next->get_worker(), *next);
            }
        }
        return records;
    }

} // namespace

std::vector<worker_record> decide_ejections(const ejection_input& input,
    const std::vector<worker_record>& previous, core::time_point now)
{
    const auto heard = sum_by_zone(without_faulty_sources(input.get_sources()));
    const auto zones = without_faulty_zone_paths(heard, input.get_workers());
    record_map before;
    for (const worker_record& each : previous)
    {
        before.emplace(each.get_worker(), each);
    }
    const auto all = assess_all(
        input.get_workers(), zones, input.get_silent_zones(), before, now);
    const bool is_shared = has_shared_cause(all, before, now);
    record_map records
        = advance_all(previous, all, input.get_silent_zones(), is_shared, now);
    if (!is_shared)
    {
        // With the evidence of faulty paths: without it, the only worker of a
        // zone that is left would look like the only bad one.
        const auto unreachable = unreachable_zones(input.get_workers(),
            assess_all(input.get_workers(), heard, input.get_silent_zones(),
                before, now),
            records, now);
        eject(
            candidates(input, all, unreachable, records), input, records, now);
    }
    std::vector<worker_record> next;
    for (auto& [id, record] : records)
    {
        next.push_back(std::move(record));
    }
    return next;
}

} // namespace pollenward::upstream
