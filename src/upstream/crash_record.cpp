#include "upstream/crash_record.hpp"

#include <algorithm>
#include <set>

namespace pollenward::upstream {

namespace {

    /// Error of the times in a notice from another daemon of the zone, by
    /// which a run may seem to begin before the end of the one before it.
    constexpr core::milliseconds max_time_error{ 10 };
    /// A later delay exceeds the time for which records are kept.
    constexpr std::size_t max_delay_steps = 3;

    std::optional<request_mark> latest(const std::optional<request_mark>& own,
        const std::optional<request_mark>& other)
    {
        if (!own || !other)
        {
            return own ? own : other;
        }
        const bool is_same = own->get_request() == other->get_request();
        return is_same || own->get_at() >= other->get_at() ? own : other;
    }

} // namespace

crash_record crash_record::make(std::vector<crash_event> events,
    std::optional<request_mark> last_trial,
    std::optional<request_mark> last_refusal)
{
    crash_record made;
    made.events = std::move(events);
    std::sort(made.events.begin(), made.events.end(),
        [](const crash_event& left, const crash_event& right) {
            return left.get_ended_at() < right.get_ended_at();
        });
    if (made.events.size() > max_events)
    {
        made.events.erase(made.events.begin(),
            made.events.end() - static_cast<std::ptrdiff_t>(max_events));
    }
    made.last_trial = std::move(last_trial);
    made.last_refusal = std::move(last_refusal);
    return made;
}

crash_record crash_record::with_crash(const crash_event& added) const
{
    return this->merged(make({ added }, std::nullopt, std::nullopt));
}

crash_record crash_record::with_trial(request_mark trial) const
{
    return make(this->events, std::move(trial), this->last_refusal);
}

crash_record crash_record::with_refusal(request_mark refusal) const
{
    return make(this->events, this->last_trial, std::move(refusal));
}

crash_record crash_record::refuted() const
{
    std::vector<crash_event> changed;
    changed.reserve(this->events.size());
    for (const crash_event& each : this->events)
    {
        changed.push_back(each.with_refuted(true));
    }
    return make(std::move(changed), this->last_trial, this->last_refusal);
}

crash_record crash_record::merged(const crash_record& other) const
{
    std::vector<crash_event> all = this->events;
    for (const crash_event& each : other.events)
    {
        const auto known = std::find_if(
            all.begin(), all.end(), [&](const crash_event& present) {
                return present.is_same_run(each);
            });
        if (known == all.end())
        {
            all.push_back(each);
        }
        else
        {
            *known
                = known->with_refuted(known->is_refuted() || each.is_refuted());
        }
    }
    return make(std::move(all), latest(this->last_trial, other.last_trial),
        latest(this->last_refusal, other.last_refusal));
}

std::vector<crash_event> crash_record::successive_crashes() const
{
    std::vector<crash_event> series;
    for (const crash_event& each : this->events)
    {
        const bool overlaps = !series.empty()
            && each.get_started_at() + max_time_error
                < series.back().get_ended_at();
        if (!each.is_refuted() && !overlaps)
        {
            series.push_back(each);
        }
    }
    return series;
}

bool crash_record::is_suspicious() const
{
    return std::any_of(this->events.begin(), this->events.end(),
        [](const crash_event& each) { return !each.is_refuted(); });
}

bool crash_record::is_blocking() const
{
    const auto series = this->successive_crashes();
    std::set<core::worker_id> workers;
    for (const crash_event& each : series)
    {
        workers.insert(each.get_worker());
    }
    return workers.size() >= max_crashed_workers
        || series.size() >= max_crashes_of_one_worker;
}

core::time_point crash_record::last_crash_at() const
{
    return this->events.empty() ? core::time_point::min()
                                : this->events.back().get_ended_at();
}

core::time_point crash_record::next_trial_at() const
{
    const std::size_t crashes = this->successive_crashes().size();
    const std::size_t steps = std::min(
        max_delay_steps, crashes - std::min(crashes, max_crashed_workers));
    core::duration delay = first_trial_delay;
    for (std::size_t step = 0; step < steps; ++step)
    {
        delay *= trial_delay_factor;
    }
    const auto last = this->last_trial
        ? std::max(this->last_trial->get_at(), this->last_crash_at())
        : this->last_crash_at();
    return last + delay;
}

bool crash_record::is_expired(core::time_point now) const
{
    auto last = this->last_crash_at();
    for (const auto& mark : { this->last_trial, this->last_refusal })
    {
        last = mark ? std::max(last, mark->get_at()) : last;
    }
    return now >= last + crash_record_ttl;
}

} // namespace pollenward::upstream
