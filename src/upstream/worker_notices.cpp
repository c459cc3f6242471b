#include "upstream/worker_notices.hpp"

#include <algorithm>
#include <map>

namespace pollenward::upstream {

template <class Change>
void worker_notices::change(const listed_worker& who, Change apply)
{
    const auto started_at = who.get_started_at_ms();
    this->notices.update(who.get_worker().get_id(),
        [&](const std::optional<worker_notice>& present) {
            const bool is_of_this_run
                = present && present->get_started_at_ms() >= started_at;
            return std::optional(apply(
                is_of_this_run ? *present : worker_notice::make(started_at)));
        });
    this->has_any = true;
}

bool worker_notices::record_leaving(const listed_worker& who)
{
    const bool is_new = !this->is_leaving(who);
    this->change(
        who, [](const worker_notice& each) { return each.with_leaving(); });
    this->leaving += is_new ? 1 : 0;
    return is_new;
}

void worker_notices::record_pause(
    const listed_worker& who, core::time_point until)
{
    this->change(
        who, [&](const worker_notice& each) { return each.with_pause(until); });
    ++this->pauses;
}

void worker_notices::store_listed(
    const std::vector<listed_worker>& listed, core::time_point now)
{
    if (!this->has_any)
    {
        return;
    }
    std::map<core::worker_id, std::uint64_t> starts;
    for (const listed_worker& each : listed)
    {
        starts.emplace(each.get_worker().get_id(), each.get_started_at_ms());
    }
    for (const auto& [who, present] : this->notices.entries())
    {
        const auto found = starts.find(who);
        const bool is_listed = found != starts.end();
        this->notices.update(
            who, [&](const std::optional<worker_notice>& each) {
                const bool is_over = !each
                    || (is_listed && found->second > each->get_started_at_ms())
                    || (!is_listed && each->get_absent_since()
                        && *each->get_absent_since() + retention <= now);
                return is_over
                    ? std::nullopt
                    : std::optional(each->with_presence(is_listed, now));
            });
    }
}

std::optional<worker_notice> worker_notices::find(
    const listed_worker& who) const
{
    if (!this->has_any)
    {
        return std::nullopt;
    }
    const auto found = this->notices.find(who.get_worker().get_id());
    return found && found->get_started_at_ms() >= who.get_started_at_ms()
        ? found
        : std::nullopt;
}

bool worker_notices::is_leaving(const listed_worker& who) const
{
    const auto found = this->find(who);
    return found && found->is_leaving();
}

std::optional<core::time_point> worker_notices::find_pause(
    const listed_worker& who, core::time_point now) const
{
    const auto found = this->find(who);
    return found && found->get_paused_until() > now
        ? std::optional(found->get_paused_until())
        : std::nullopt;
}

notice_counts worker_notices::count() const
{
    return { this->leaving, this->pauses, this->unreadable_pauses };
}

} // namespace pollenward::upstream
