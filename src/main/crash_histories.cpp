#include "main/crash_histories.hpp"

#include <algorithm>
#include <chrono>
#include <optional>
#include <utility>
#include <vector>

namespace pollenward::main {

namespace {

    core::milliseconds age_of(core::time_point at, core::time_point now)
    {
        return std::max(core::milliseconds::zero(),
            std::chrono::ceil<core::milliseconds>(now - at));
    }

    std::optional<fleet::mark_report> to_report(
        const std::optional<upstream::request_mark>& mark, core::time_point now)
    {
        return mark ? std::optional(fleet::mark_report::make(
                   mark->get_request(), age_of(mark->get_at(), now)))
                    : std::nullopt;
    }

    std::optional<upstream::request_mark> to_mark(
        const std::optional<fleet::mark_report>& report, core::time_point now)
    {
        return report ? std::optional(upstream::request_mark::make(
                   report->get_request(), now - report->get_age()))
                      : std::nullopt;
    }

} // namespace

fleet::crash_history to_history(
    const upstream::named_crash_record& record, core::time_point now)
{
    const auto& [fingerprint, content] = record;
    std::vector<fleet::crash_report> crashes;
    crashes.reserve(content.get_events().size());
    for (const upstream::crash_event& each : content.get_events())
    {
        crashes.push_back(fleet::crash_report::make(each.get_request(),
            each.get_worker(), age_of(each.get_started_at(), now),
            age_of(each.get_ended_at(), now), each.is_refuted()));
    }
    return fleet::crash_history::make(fingerprint, std::move(crashes),
        to_report(content.get_last_trial(), now),
        to_report(content.get_last_refusal(), now));
}

upstream::named_crash_record to_record(
    const fleet::crash_history& history, core::time_point now)
{
    std::vector<upstream::crash_event> events;
    events.reserve(history.get_crashes().size());
    for (const fleet::crash_report& each : history.get_crashes())
    {
        events.push_back(
            upstream::crash_event::make(each.get_request(), each.get_worker(),
                now - each.get_start_age(), now - each.get_end_age())
                .with_refuted(each.is_refuted()));
    }
    return { history.get_fingerprint(),
        upstream::crash_record::make(std::move(events),
            to_mark(history.get_last_trial(), now),
            to_mark(history.get_last_refusal(), now)) };
}

} // namespace pollenward::main
