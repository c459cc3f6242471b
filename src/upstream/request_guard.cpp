#include "upstream/request_guard.hpp"

namespace pollenward::upstream {

std::optional<crash_record> request_guard::on_crash(
    std::uint64_t fingerprint, const crash_event& crash)
{
    bool is_new = false;
    const auto next = this->records.update(
        fingerprint, [&](const std::optional<crash_record>& present) {
            const auto before = present.value_or(crash_record());
            auto changed = before.with_crash(crash);
            is_new = changed != before;
            this->record_count += present ? 0 : 1;
            return std::optional(std::move(changed));
        });
    return is_new ? next : std::nullopt;
}

std::optional<crash_record> request_guard::on_success(std::uint64_t fingerprint)
{
    if (this->size() == 0)
    {
        return std::nullopt;
    }
    bool has_changed = false;
    const auto next = this->records.update(
        fingerprint, [&](const std::optional<crash_record>& present) {
            has_changed = present && present->is_suspicious();
            return has_changed ? std::optional(present->refuted()) : present;
        });
    return has_changed ? next : std::nullopt;
}

crash_record request_guard::merge(
    std::uint64_t fingerprint, const crash_record& received)
{
    return *this->records.update(
        fingerprint, [&](const std::optional<crash_record>& present) {
            this->record_count += present ? 0 : 1;
            return std::optional(
                present ? present->merged(received) : received);
        });
}

guard_decision request_guard::check(std::uint64_t fingerprint,
    const core::request_id& request, core::duration trial_delay,
    core::time_point now)
{
    if (!this->is_blocked(fingerprint, now))
    {
        return guard_decision::pass;
    }
    auto decision = guard_decision::pass;
    this->records.update(
        fingerprint, [&](const std::optional<crash_record>& present) {
            if (!present || !present->is_blocking())
            {
                return present;
            }
            const auto mark = request_mark::make(request, now);
            const bool is_due = now >= present->next_trial_at() + trial_delay;
            decision = is_due ? guard_decision::trial : guard_decision::refuse;
            return std::optional(is_due ? present->with_trial(mark)
                                        : present->with_refusal(mark));
        });
    return decision;
}

bool request_guard::is_blocked(
    std::uint64_t fingerprint, core::time_point now) const
{
    const auto record = this->find(fingerprint);
    return record && !record->is_expired(now) && record->is_blocking();
}

std::optional<crash_record> request_guard::find(std::uint64_t fingerprint) const
{
    return this->size() == 0 ? std::nullopt : this->records.find(fingerprint);
}

std::vector<named_crash_record> request_guard::blocking_records(
    std::size_t count, core::time_point now) const
{
    std::vector<named_crash_record> found;
    if (this->size() == 0)
    {
        return found;
    }
    for (auto& each : this->records.entries())
    {
        const crash_record& record = each.second;
        if (found.size() < count && !record.is_expired(now)
            && record.is_blocking())
        {
            found.push_back(std::move(each));
        }
    }
    return found;
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
