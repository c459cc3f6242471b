#include "upstream/floor.hpp"

#include <algorithm>
#include <map>
#include <optional>
#include <tuple>

namespace pollenward::upstream {

namespace {

    // Tolerance for rounding of the floor share; weights are sums of sixteenths
    // and so exact.
    constexpr double rounding_tolerance = 1e-9;

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

    /// The workers by id. Of two entries with one id, one that is leaving takes
    /// precedence.
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

    /// A live worker with its state after the verdicts and local avoidance.
    struct live_worker {
        worker who;
        worker_state state = worker_state::active;
        double weight = 1;
        bool is_avoided = false;
        int ejections = 0;
        core::milliseconds remaining{};

        /// Share of normal traffic before the floor is applied.
        double effective_weight() const
        {
            const bool is_out
                = this->is_avoided || this->state == worker_state::ejected;
            return is_out ? 0 : this->weight;
        }

        /// Sort key, least severe first. The id makes the order total, so that
        /// daemons with the same input cancel the same ejections.
        auto severity_key() const
        {
            const int severity = (this->state == worker_state::ejected ? 2 : 0)
                + (this->is_avoided ? 1 : 0);
            return std::make_tuple(
                severity, this->ejections, this->remaining, this->who.get_id());
        }
    };

    std::vector<live_worker> apply_verdicts(const std::vector<worker>& workers,
        const std::vector<received_verdict>& verdicts,
        const std::vector<core::worker_id>& draining,
        const std::vector<core::worker_id>& avoided, core::time_point now)
    {
        std::map<core::worker_id, verdict> by_id;
        for (const received_verdict& each : verdicts)
        {
            by_id.insert_or_assign(
                each.get_verdict().get_worker(), each.at(now));
        }
        std::vector<live_worker> live;
        for (const auto& [id, who] : distinct(workers))
        {
            if (!is_live(who, draining))
            {
                continue;
            }
            live_worker next;
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
            live.push_back(next);
        }
        return live;
    }

    /// Gives workers full weight, least severe first, until the capacity
    /// reaches `required`.
    void restore_capacity(std::vector<live_worker>& live, double required)
    {
        double capacity = 0;
        std::vector<live_worker*> reduced;
        for (live_worker& each : live)
        {
            capacity += each.effective_weight();
            if (each.effective_weight() < 1)
            {
                reduced.push_back(&each);
            }
        }
        std::sort(reduced.begin(), reduced.end(),
            [](const auto* left, const auto* right) {
                return left->severity_key() < right->severity_key();
            });
        for (live_worker* each : reduced)
        {
            if (capacity >= required - rounding_tolerance)
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

std::vector<usable_worker> usable_workers(const std::vector<worker>& workers,
    const std::vector<received_verdict>& verdicts,
    const std::vector<core::worker_id>& draining,
    const std::vector<core::worker_id>& avoided, double floor_share,
    core::time_point now)
{
    auto live = apply_verdicts(workers, verdicts, draining, avoided, now);
    restore_capacity(live, required_capacity(workers, draining, floor_share));
    std::vector<usable_worker> usable;
    for (const live_worker& each : live)
    {
        if (each.effective_weight() > 0)
        {
            usable.push_back(usable_worker::make(
                each.who, each.state, each.effective_weight()));
        }
    }
    return usable;
}

} // namespace pollenward::upstream
