#pragma once

#include "core/units.hpp"
#include "upstream/concurrency_limit.hpp"
#include "upstream/worker_subset.hpp"

#include <compare>
#include <cstdint>
#include <optional>
#include <utility>

namespace pollenward::upstream {

/// The limits within which a daemon dispatches the requests of a service.
class service_dispatch_limits {
public:
    /// `service_slots` is the sum over all live workers.
    static service_dispatch_limits make(core::slot_count slots_per_worker,
        core::slot_count service_slots, std::int64_t live_daemons,
        worker_subset subset)
    {
        service_dispatch_limits made;
        made.slots_per_worker = slots_per_worker;
        made.safe = safe_share(service_slots, live_daemons);
        made.subset = std::move(subset);
        return made;
    }

    core::slot_count get_slots_per_worker() const
    {
        return this->slots_per_worker;
    }

    core::slot_count get_safe_share() const { return this->safe; }
    /// Nothing if the subset is not computed yet: all workers may be used.
    const std::optional<worker_subset>& get_subset() const
    {
        return this->subset;
    }

    /// Connections that the daemon may have open to one worker.
    int get_connections() const
    {
        return this->subset ? this->subset->get_connections()
                            : static_cast<int>(this->slots_per_worker.get());
    }

    auto operator<=>(const service_dispatch_limits&) const = default;

private:
    core::slot_count slots_per_worker{ 6 };
    core::slot_count safe{ 1 };
    std::optional<worker_subset> subset;
};

} // namespace pollenward::upstream
