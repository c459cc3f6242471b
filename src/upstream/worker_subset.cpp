#include "upstream/worker_subset.hpp"

#include "core/rendezvous.hpp"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <numeric>
#include <string>

namespace pollenward::upstream {

namespace {

    /// Share of a worker's connections that the daemons may use together; the
    /// rest is for probes, cancellations and daemons with an outdated list.
    constexpr double connection_share = 0.8;
    /// A daemon needs a second connection to a worker to replace a silent one.
    constexpr int min_connections = 2;
    /// Enough for a retry elsewhere while one worker is ejected.
    constexpr std::size_t min_workers = 4;
    /// Share of a worker's places that is reserved for daemons with fewer than
    /// `min_workers`.
    constexpr double reserve_share = 0.15;

    class subset_sizes {
    public:
        static subset_sizes make(
            std::size_t daemons, int connections_per_worker)
        {
            const int usable
                = static_cast<int>(connection_share * connections_per_worker);
            const int count = std::max(1, static_cast<int>(daemons));
            subset_sizes made;
            made.connections
                = std::max(std::min(usable, min_connections), usable / count);
            made.places = made.connections == 0
                ? 0
                : static_cast<std::size_t>(usable / made.connections);
            const auto reserve = static_cast<std::size_t>(
                reserve_share * static_cast<double>(made.places));
            made.first_places
                = made.places >= daemons ? daemons : made.places - reserve;
            return made;
        }

        int get_connections() const { return this->connections; }
        std::size_t get_places() const { return this->places; }
        std::size_t get_first_places() const { return this->first_places; }

    private:
        int connections = 0;
        /// Daemons that can use one worker, and those of them that are assigned
        /// to it before the reserve is.
        std::size_t places = 0;
        std::size_t first_places = 0;
    };

    using worker_id_lists = std::vector<std::vector<core::worker_id>>;

    /// Assigns each worker to the daemons with the highest scores; returns the
    /// number of daemons that each worker was assigned to.
    std::vector<std::size_t> fill_first_places(worker_id_lists& members,
        const std::vector<subset_daemon>& daemons,
        const std::vector<worker>& workers, std::size_t first_places)
    {
        std::vector<std::size_t> assigned;
        std::vector<std::pair<std::uint64_t, std::size_t>> scored;
        for (const worker& each : workers)
        {
            scored.clear();
            for (std::size_t i = 0; i < daemons.size(); ++i)
            {
                // The upper half of the scores is for daemons of its own zone.
                const bool is_near = daemons[i].get_zone() == each.get_zone();
                const auto score = core::rendezvous_score(each.get_id().str(),
                                       daemons[i].get_id().str())
                    / 2;
                scored.emplace_back(is_near ? score + (1ULL << 63U) : score, i);
            }
            const std::size_t count = std::min(first_places, scored.size());
            std::partial_sort(scored.begin(),
                scored.begin() + static_cast<std::ptrdiff_t>(count),
                scored.end(), std::greater<>());
            for (std::size_t i = 0; i < count; ++i)
            {
                members[scored[i].second].push_back(each.get_id());
            }
            assigned.push_back(count);
        }
        return assigned;
    }

    /// Adds workers that have places left to a daemon with too few workers.
    void fill_reserve(std::vector<core::worker_id>& own,
        const core::daemon_id& daemon, const std::vector<worker>& workers,
        std::vector<std::size_t>& assigned, std::size_t places)
    {
        std::vector<std::pair<std::uint64_t, std::size_t>> scored;
        for (std::size_t i = 0; i < workers.size(); ++i)
        {
            const auto& id = workers[i].get_id();
            if (std::find(own.begin(), own.end(), id) == own.end())
            {
                scored.emplace_back(
                    core::rendezvous_score(daemon.str(), id.str()), i);
            }
        }
        std::sort(scored.begin(), scored.end(), std::greater<>());
        for (const auto& [score, index] : scored)
        {
            if (own.size() < min_workers && assigned[index] < places)
            {
                own.push_back(workers[index].get_id());
                ++assigned[index];
            }
        }
    }

} // namespace

bool worker_subset::contains(const core::worker_id& worker) const
{
    return std::binary_search(
        this->workers.begin(), this->workers.end(), worker);
}

std::vector<worker_subset> assign_subsets(
    const std::vector<subset_daemon>& daemons,
    const std::vector<worker>& workers, int connections_per_worker)
{
    const auto sizes
        = subset_sizes::make(daemons.size(), connections_per_worker);
    worker_id_lists members(daemons.size());
    auto assigned = fill_first_places(
        members, daemons, workers, sizes.get_first_places());
    std::vector<std::size_t> order(daemons.size());
    std::iota(order.begin(), order.end(), 0);
    std::sort(order.begin(), order.end(), [&](auto left, auto right) {
        return daemons[left].get_id() < daemons[right].get_id();
    });
    for (const std::size_t index : order)
    {
        fill_reserve(members[index], daemons[index].get_id(), workers, assigned,
            sizes.get_places());
    }
    std::vector<worker_subset> subsets;
    for (auto& own : members)
    {
        std::sort(own.begin(), own.end());
        subsets.push_back(
            worker_subset::make(std::move(own), sizes.get_connections()));
    }
    return subsets;
}

worker_subset find_subset(const core::daemon_id& self,
    const std::vector<subset_daemon>& daemons,
    const std::vector<worker>& workers, int connections_per_worker)
{
    const auto subsets
        = assign_subsets(daemons, workers, connections_per_worker);
    for (std::size_t i = 0; i < daemons.size(); ++i)
    {
        if (daemons[i].get_id() == self)
        {
            return subsets[i];
        }
    }
    return {};
}

} // namespace pollenward::upstream
