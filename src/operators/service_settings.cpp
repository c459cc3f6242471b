#include "operators/service_settings.hpp"

namespace pollenward::operators {

namespace {

    bool is_share(double value)
    {
        return value >= 0 && value <= 1;
    }

    core::error fault(const core::service_id& id, const char* cause)
    {
        return core::error::make("check service", id.str(), cause);
    }

} // namespace

std::optional<service_settings> service_settings::create(core::service_id id,
    double floor, core::slot_count slots_per_worker, int connections_per_worker,
    const rank_shares& minimum_shares, core::error& reason)
{
    if (id.is_empty())
    {
        reason = fault(id, "has an empty id");
        return std::nullopt;
    }
    if (!is_share(floor))
    {
        reason = fault(id, "floor is not between 0 and 1");
        return std::nullopt;
    }
    if (slots_per_worker.get() < 1 || connections_per_worker < 1)
    {
        reason = fault(id, "a worker needs at least one slot and connection");
        return std::nullopt;
    }
    const double standard
        = minimum_shares[core::index_of(core::rank::standard)];
    const double background
        = minimum_shares[core::index_of(core::rank::background)];
    if (!is_share(standard) || !is_share(background)
        || standard + background > 1)
    {
        reason
            = fault(id, "minimum shares or their sum are not between 0 and 1");
        return std::nullopt;
    }
    service_settings made;
    made.id = std::move(id);
    made.floor = floor;
    made.slots_per_worker = slots_per_worker;
    made.connections_per_worker = connections_per_worker;
    made.minimum_shares = minimum_shares;
    return made;
}

} // namespace pollenward::operators
