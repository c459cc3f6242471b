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
    /// rest is for probes, cancellations and daemons with an older list.
    constexpr double connection_share = 0.8;
    /// A daemon needs a second connection to a worker to replace a silent one.
    constexpr int min_connections = 2;
    /// Enough for a retry elsewhere while one worker is ejected.
    constexpr std::size_t min_workers = 4;
    /// Share of a worker's places that is kept back for daemons with fewer
    /// than `min_workers`.
    constexpr double reserve_share = 0.15;

    class division {
    public:
        static division make(std::size_t daemons, int connections_per_worker)
        {
            const int usable
                = static_cast<int>(connection_share * connections_per_worker);
            const int count = std::max(1, static_cast<int>(daemons));
            division made;
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
        /// Daemons that one worker can serve, and those that it takes before
        /// the reserve is divided.
        std::size_t places = 0;
        std::size_t first_places = 0;
    };

    using member_lists = std::vector<std::vector<core::worker_id>>;

    /// Gives each worker its best daemons; returns the daemons that each took.
    std::vector<std::size_t> fill_first_places(member_lists& members,
        const std::vector<subset_daemon>& daemons,
        const std::vector<worker>& workers, std::size_t first_places)
    {
        std::vector<std::size_t> taken;
        std::vector<std::pair<std::uint64_t, std::size_t>> scored;
        for (const worker& each : workers)
        {
            scored.clear();
            for (std::size_t i = 0; i < daemons.size(); ++i)
            {
                // Half of the range of scores is kept for the own zone.
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
            taken.push_back(count);
        }
        return taken;
    }

    /// Adds workers with places left to a daemon that has few.
    void fill_reserve(std::vector<core::worker_id>& own,
        const core::daemon_id& daemon, const std::vector<worker>& workers,
        std::vector<std::size_t>& taken, std::size_t places)
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
            if (own.size() < min_workers && taken[index] < places)
            {
                own.push_back(workers[index].get_id());
                ++taken[index];
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
    const auto sizes = division::make(daemons.size(), connections_per_worker);
    member_lists members(daemons.size());
    auto taken = fill_first_places(
        members, daemons, workers, sizes.get_first_places());
    std::vector<std::size_t> order(daemons.size());
    std::iota(order.begin(), order.end(), 0);
    std::sort(order.begin(), order.end(), [&](auto left, auto right) {
        return daemons[left].get_id() < daemons[right].get_id();
    });
    for (const std::size_t index : order)
    {
        fill_reserve(members[index], daemons[index].get_id(), workers, taken,
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
