#include "soak/notice_check.hpp"

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <tuple>

namespace pollenward::soak {

namespace {

    /// One run of a worker as one run of a daemon uses it.
    using path = std::tuple<std::string, int, std::string, int>;

    struct sent_request {
        const request_record* record = nullptr;
        const arrival* reached = nullptr;
    };

    bool was_disturbed(const run_evidence& seen, const std::string& daemon,
        seconds from, seconds to)
    {
        return std::any_of(seen.disturbances.begin(), seen.disturbances.end(),
            [&](const disturbance& each) {
                return each.daemon == daemon && each.from <= to
                    && each.to >= from;
            });
    }

    std::string describe(
        const char* rule, const sent_request& late, seconds since)
    {
        return std::string(rule) + ' ' + late.record->get_id() + ' '
            + late.record->get_daemon() + " reached " + late.reached->worker
            + " at " + std::to_string(late.reached->at.count()) + ", notice of "
            + std::to_string(since.count());
    }

    /// The requests of one path that were sent too long after its first notice
    /// that the worker leaves.
    void add_late_to_leaving(const run_evidence& seen,
        const std::vector<sent_request>& sends, const notice_bounds& bounds,
        std::vector<std::string>& found)
    {
        std::optional<seconds> told_at;
        for (const sent_request& each : sends)
        {
            // Only an answer of the worker is passed on with its notice.
            if (each.reached->said_leaving && each.record->has_signature())
            {
                const seconds at = each.record->get_ended_at();
                told_at = told_at ? std::min(*told_at, at) : at;
            }
        }
        for (const sent_request& each : sends)
        {
            if (told_at && each.record->get_sent_at() > *told_at + bounds.drain
                && !was_disturbed(seen, each.record->get_daemon(), *told_at,
                    each.reached->at))
            {
                found.push_back(describe("DRAIN", each, *told_at));
            }
        }
    }

    /// The requests of one path beyond the allowed ones in each pause, once.
    void add_late_in_pauses(const run_evidence& seen,
        const std::vector<sent_request>& sends, const notice_bounds& bounds,
        std::vector<std::string>& found)
    {
        std::set<std::string> late;
        for (const sent_request& told : sends)
        {
            const seconds from = told.reached->at;
            const seconds to = from + told.reached->stated_pause;
            std::size_t count = 0;
            for (const sent_request& each : sends)
            {
                const seconds at = each.reached->at;
                const bool is_counted = at > from + bounds.pause_slack
                    && at < to
                    && !was_disturbed(
                        seen, each.record->get_daemon(), from, at);
                count += is_counted ? 1 : 0;
                if (is_counted && count > bounds.paused_requests
                    && late.insert(each.record->get_id()).second)
                {
                    found.push_back(describe("BUDGET", each, from));
                }
            }
        }
    }

} // namespace

std::vector<std::string> find_late_sends(const run_evidence& seen,
    const std::vector<arrival>& arrivals, const notice_bounds& bounds)
{
    std::map<std::string, const request_record*> records;
    for (const request_record& each : seen.requests)
    {
        records.emplace(each.get_id(), &each);
    }
    std::map<path, std::vector<sent_request>> paths;
    for (const arrival& each : arrivals)
    {
        const auto found = records.find(each.request);
        if (found != records.end())
        {
            const request_record& sent = *found->second;
            paths[{ sent.get_daemon(), sent.get_incarnation(), each.worker,
                      each.start }]
                .push_back({ &sent, &each });
        }
    }
    std::vector<std::string> found;
    for (const auto& [from, sends] : paths)
    {
        add_late_to_leaving(seen, sends, bounds, found);
        add_late_in_pauses(seen, sends, bounds, found);
    }
    return found;
}

} // namespace pollenward::soak
