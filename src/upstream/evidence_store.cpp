#include "upstream/evidence_store.hpp"

#include <algorithm>
#include <optional>

namespace pollenward::upstream {

namespace {

    // A single result decays below this count after about 46 s.
    constexpr double negligible_count = 0.01;

    bool is_negligible(const evidence_counts& counts)
    {
        return counts.get_slow_successes() + counts.get_slow_failures()
            < negligible_count;
    }

} // namespace

void evidence_store::record(const core::service_id& service,
    const core::worker_id& worker, bool is_failure, core::time_point now)
{
    this->windows.update(worker_key::make(service, worker),
        [&](const std::optional<evidence_window>& present) {
            return std::optional(present.value_or(evidence_window::make(now))
                                     .with_result(is_failure, now));
        });
}

std::vector<worker_evidence> evidence_store::collect(core::time_point now)
{
    this->windows.erase_if([&](const worker_key&, const auto& window) {
        return is_negligible(window.counts(now));
    });
    std::vector<worker_evidence> all;
    for (const auto& [key, window] : this->windows.entries())
    {
        all.push_back(worker_evidence::make(key, window.counts(now)));
    }
    std::sort(all.begin(), all.end());
    return all;
}

} // namespace pollenward::upstream
