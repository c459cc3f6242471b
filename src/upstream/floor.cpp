#include "upstream/floor.hpp"

#include <algorithm>
#include <map>
#include <optional>
#include <tuple>

namespace pollenward::upstream {

namespace {

    // Weights are sums of sixteenths; the slack covers rounding of the share.
    constexpr double rounding = 1e-9;

    bool contains(
        const std::vector<core::worker_id>& ids, const core::worker_id& id)
    {
        return std::find(ids.begin(), ids.end(), id) != ids.end();
    }

    bool is_live(
        const worker& who, const std::vector<core::worker_id>& draining)
    {
        return !who.is_leaving() && !contains(draining, who.get_id());
    }

    /// Listed twice is one worker; leaving in either entry is leaving.
    std::map<core::worker_id, worker> distinct(
        const std::vector<worker>& workers)
    {
        std::map<core::worker_id, worker> by_id;
        for (const worker& each : workers)
        {
            const auto [found, is_new] = by_id.emplace(each.get_id(), each);
            if (!is_new && each.is_leaving())
            {
                found->second = each;
            }
        }
        return by_id;
    }

    /// A live worker, what the verdicts make of it, and how bad it is.
    struct judged_worker {
        worker who;
        worker_state state = worker_state::active;
        double weight = 1;
        bool is_avoided = false;
        int ejections = 0;
        core::milliseconds remaining{};

        /// Share of normal work without the floor.
        double effective_weight() const
        {
            const bool is_out
                = this->is_avoided || this->state == worker_state::ejected;
            return is_out ? 0 : this->weight;
        }

        /// Least bad first. The id makes the order total, so that daemons with
        /// the same view cancel the same ejections.
        auto badness() const
        {
            const int severity = (this->state == worker_state::ejected ? 2 : 0)
                + (this->is_avoided ? 1 : 0);
            return std::make_tuple(
                severity, this->ejections, this->remaining, this->who.get_id());
        }
    };

    std::vector<judged_worker> judge(const std::vector<worker>& workers,
        const std::vector<held_verdict>& verdicts,
        const std::vector<core::worker_id>& draining,
        const std::vector<core::worker_id>& avoided, core::time_point now)
    {
        std::map<core::worker_id, verdict> by_id;
        for (const held_verdict& each : verdicts)
        {
            by_id.insert_or_assign(
                each.get_verdict().get_worker(), each.at(now));
        }
        std::vector<judged_worker> judged;
        for (const auto& [id, who] : distinct(workers))
        {
            if (!is_live(who, draining))
            {
                continue;
            }
            judged_worker next;
            next.who = who;
            const auto found = by_id.find(id);
            if (found != by_id.end()
                && found->second.get_state() != worker_state::active)
            {
                next.state = found->second.get_state();
                next.weight = std::clamp(found->second.get_weight(), 0.0, 1.0);
                next.ejections = found->second.get_ejections();
                next.remaining = found->second.get_remaining();
            }
            next.is_avoided = contains(avoided, id);
            judged.push_back(next);
        }
        return judged;
    }

    /// Returns workers to full work, least bad first, up to `required`.
    void restore(std::vector<judged_worker>& judged, double required)
    {
        double capacity = 0;
        std::vector<judged_worker*> reduced;
        for (judged_worker& each : judged)
        {
            capacity += each.effective_weight();
            if (each.effective_weight() < 1)
            {
                reduced.push_back(&each);
            }
        }
        std::sort(reduced.begin(), reduced.end(),
            [](const auto* left, const auto* right) {
                return left->badness() < right->badness();
            });
        for (judged_worker* each : reduced)
        {
            if (capacity >= required - rounding)
            {
                return;
            }
            capacity += 1 - each->effective_weight();
            each->state = worker_state::active;
            each->weight = 1;
            each->is_avoided = false;
        }
    }

} // namespace

double required_capacity(const std::vector<worker>& workers,
    const std::vector<core::worker_id>& draining, double floor_share)
{
    const auto listed = distinct(workers);
    const auto live = std::count_if(listed.begin(), listed.end(),
        [&](const auto& entry) { return is_live(entry.second, draining); });
    return std::min(floor_share * static_cast<double>(listed.size()),
        static_cast<double>(live));
}

std::vector<worker_standing> usable_workers(const std::vector<worker>& workers,
    const std::vector<held_verdict>& verdicts,
    const std::vector<core::worker_id>& draining,
    const std::vector<core::worker_id>& avoided, double floor_share,
    core::time_point now)
{
    auto judged = judge(workers, verdicts, draining, avoided, now);
    restore(judged, required_capacity(workers, draining, floor_share));
    std::vector<worker_standing> usable;
    for (const judged_worker& each : judged)
    {
        if (each.effective_weight() > 0)
        {
            usable.push_back(worker_standing::make(
                each.who, each.state, each.effective_weight()));
        }
    }
    return usable;
}

} // namespace pollenward::upstream
