#include "upstream/request_guard.hpp"

#include <algorithm>
#include <optional>

namespace pollenward::upstream {

bool request_guard::on_crash(std::uint64_t fingerprint,
    const core::worker_id& worker, core::time_point now)
{
    bool is_new = false;
    this->records.update(
        fingerprint, [&](const std::optional<crash_record>& present) {
            const bool is_known = present && !present->is_expired(now);
            auto workers = is_known ? present->get_workers()
                                    : std::vector<core::worker_id>();
            is_new = std::find(workers.begin(), workers.end(), worker)
                == workers.end();
            if (is_new)
            {
                workers.push_back(worker);
            }
            if (!present)
            {
                ++this->record_count;
            }
            return std::optional(crash_record::make(std::move(workers),
                is_new || !is_known ? now : present->get_last_at()));
        });
    return is_new;
}

void request_guard::on_success(std::uint64_t fingerprint)
{
    if (this->record_count.load() == 0)
    {
        return;
    }
    if (this->records.erase(fingerprint))
    {
        --this->record_count;
    }
}

bool request_guard::is_blocked(
    std::uint64_t fingerprint, core::time_point now) const
{
    if (this->record_count.load() == 0)
    {
        return false;
    }
    const auto record = this->records.find(fingerprint);
    return record && record->is_blocking(now);
}

std::size_t request_guard::expire(core::time_point now)
{
    const std::size_t expired = this->records.erase_if(
        [&](std::uint64_t, const crash_record& record) {
            return record.is_expired(now);
        });
    this->record_count -= expired;
    return expired;
}

} // namespace pollenward::upstream
