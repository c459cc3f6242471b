#pragma once

#include "core/ids.hpp"
#include "core/runtime_clock.hpp"
#include "upstream/verdict.hpp"

#include <compare>
#include <utility>
#include <vector>

namespace pollenward::fleet {

/// An aggregator's reply to an evidence report.
class verdict_reply {
public:
    /// `share` is the number of slots that the reporting daemon may use, 0 if
    /// the aggregator cannot compute it; it is valid for `share_validity`.
    /// `draining` are workers that any daemon reported as leaving.
    static verdict_reply make(std::vector<upstream::verdict> verdicts,
        double share, core::milliseconds share_validity, bool is_overloaded,
        std::vector<core::worker_id> draining)
    {
        verdict_reply made;
        made.verdicts = std::move(verdicts);
        made.share = share;
        made.share_validity = share_validity;
        made.overloaded = is_overloaded;
        made.draining = std::move(draining);
        return made;
    }

    verdict_reply with_draining(std::vector<core::worker_id> workers) const
    {
        verdict_reply changed = *this;
        changed.draining = std::move(workers);
        return changed;
    }

    const std::vector<upstream::verdict>& get_verdicts() const
    {
        return this->verdicts;
    }

    double get_share() const { return this->share; }

    core::milliseconds get_share_validity() const
    {
        return this->share_validity;
    }

    /// True if the demand of the fleet exceeds the capacity of the service.
    bool is_overloaded() const { return this->overloaded; }

    const std::vector<core::worker_id>& get_draining() const
    {
        return this->draining;
    }

    auto operator<=>(const verdict_reply&) const = default;

private:
    std::vector<upstream::verdict> verdicts;
    double share = 0;
    core::milliseconds share_validity{};
    bool overloaded = false;
    std::vector<core::worker_id> draining;
};

} // namespace pollenward::fleet
